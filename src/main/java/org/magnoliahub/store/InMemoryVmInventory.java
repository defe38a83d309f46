package org.magnoliahub.store;

import java.time.Duration;
import java.util.List;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.model.Vm;
import org.magnoliahub.time.TimerService;

/**
 * {@link VmInventory} in memory.
 */
public final class InMemoryVmInventory implements VmInventory {

	private final Latency latency;

	private List<Vm> vms = List.of();

	private InMemoryVmInventory(Latency latency) {
		this.latency = latency;
	}

	/**
	 * Creates an empty inventory.
	 * @param timers delivers the answers
	 * @param latency round trip of each call, not negative
	 * @return the inventory
	 * @throws IllegalArgumentException if the latency is negative
	 */
	public static InMemoryVmInventory of(TimerService timers, Duration latency) {
		return new InMemoryVmInventory(Latency.ofRoundTrip(timers, latency));
	}

	/**
	 * Replaces the list, on the event loop.
	 * @param vms the VMs from now on
	 */
	public void replace(List<Vm> vms) {
		this.vms = List.copyOf(vms);
	}

	@Override
	public Single<List<Vm>> list() {
		return this.latency.call(() -> this.vms);
	}

}
