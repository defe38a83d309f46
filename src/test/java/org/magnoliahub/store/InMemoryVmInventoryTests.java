package org.magnoliahub.store;

import java.time.Duration;
import java.util.List;

import io.reactivex.rxjava3.schedulers.Schedulers;
import org.magnoliahub.model.Vm;
import org.magnoliahub.time.SchedulerTimerService;

class InMemoryVmInventoryTests extends VmInventoryContractTests {

	@Override
	protected VmInventory inventory(List<Vm> vms) {
		InMemoryVmInventory inventory = InMemoryVmInventory
			.of(SchedulerTimerService.of(Schedulers.trampoline(), () -> 0), Duration.ZERO);
		inventory.replace(vms);
		return inventory;
	}

}
