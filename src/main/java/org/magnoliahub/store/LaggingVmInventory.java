package org.magnoliahub.store;

import java.time.Duration;
import java.util.List;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import org.magnoliahub.model.Vm;
import org.magnoliahub.time.TimerService;

/**
 * Decorator of {@link VmInventory} that returns an outdated list. The list is copied once
 * per lag and is empty before the first copy.
 */
public final class LaggingVmInventory implements VmInventory {

	private List<Vm> lastCopy = List.of();

	private LaggingVmInventory() {
	}

	/**
	 * Creates the decorator, which copies the list until the process ends.
	 * @param inventory the inventory to copy
	 * @param timers timer service that triggers the copies
	 * @param lag time between copies, positive
	 * @return the decorator
	 * @throws IllegalArgumentException if the lag is not positive
	 */
	public static LaggingVmInventory of(VmInventory inventory, TimerService timers, Duration lag) {
		LaggingVmInventory lagging = new LaggingVmInventory();
		Disposable unused = timers.every(lag)
			.concatMapMaybe((tick) -> inventory.list().onErrorComplete())
			.subscribe((vms) -> lagging.lastCopy = vms);
		return lagging;
	}

	@Override
	public Single<List<Vm>> list() {
		return Single.fromCallable(() -> this.lastCopy);
	}

}
