package org.magnoliahub.store;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Vm;
import org.magnoliahub.model.VmState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Contract that every implementation of {@link VmInventory} must meet: it lists all VMs
 * unchanged.
 */
public abstract class VmInventoryContractTests {

	/**
	 * Returns the inventory under test.
	 * @param vms the VMs that it lists
	 * @return the inventory
	 */
	protected abstract VmInventory inventory(List<Vm> vms);

	@Test
	void listsLiveAndLeavingVms() {
		List<Vm> vms = List.of(new Vm("vm-1", new AvailabilityZone("a"), "127.0.0.1:9000", VmState.LIVE),
				new Vm("vm-2", new AvailabilityZone("b"), "127.0.0.1:9001", VmState.LEAVING));
		assertThat(inventory(vms).list().blockingGet()).containsExactlyInAnyOrderElementsOf(vms);
	}

	@Test
	void emptyListIsValid() {
		assertThat(inventory(List.of()).list().blockingGet()).isEmpty();
	}

}
