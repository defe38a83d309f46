package org.magnoliahub.store;

import java.time.Duration;
import java.util.List;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import org.magnoliahub.model.Vm;
import org.magnoliahub.time.TimerService;

/**
 * {@link VmInventory} that answers with a list that is up to one lag old. The list is
 * copied once per lag; before the first copy the answer is empty.
 */
public final class LaggingVmInventory implements VmInventory {

	private List<Vm> copy = List.of();

	private LaggingVmInventory() {
	}

	/**
	 * Creates the decorator and starts to copy until the process ends.
	 * @param inventory the present list
	 * @param timers paces the copies
	 * @param lag time between copies, positive
	 * @return the lagging inventory
	 * @throws IllegalArgumentException if the lag is not positive
	 */
	public static LaggingVmInventory of(VmInventory inventory, TimerService timers, Duration lag) {
		LaggingVmInventory lagging = new LaggingVmInventory();
		Disposable unused = timers.every(lag)
			.concatMapMaybe((tick) -> inventory.list().onErrorComplete())
			.subscribe((vms) -> lagging.copy = vms);
		return lagging;
	}

	@Override
	public Single<List<Vm>> list() {
		return Single.fromCallable(() -> this.copy);
	}

}
