package org.magnoliahub.store;

import java.time.Duration;
import java.util.List;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.model.Vm;
import org.magnoliahub.time.TimerService;

/**
 * In-memory {@link VmInventory}.
 */
public final class InMemoryVmInventory implements VmInventory {

	private final SimulatedLatency latency;

	private List<Vm> vms = List.of();

	private InMemoryVmInventory(SimulatedLatency latency) {
		this.latency = latency;
	}

	/**
	 * Creates an empty inventory.
	 * @param timers timer service that delays responses
	 * @param latency round-trip time of each call, not negative
	 * @return the inventory
	 * @throws IllegalArgumentException if the latency is negative
	 */
	public static InMemoryVmInventory of(TimerService timers, Duration latency) {
		return new InMemoryVmInventory(SimulatedLatency.ofRoundTrip(timers, latency));
	}

	/**
	 * Replaces the list of VMs. Must be called on the event loop.
	 * @param vms the new list
	 */
	public void replace(List<Vm> vms) {
		this.vms = List.copyOf(vms);
	}

	@Override
	public Single<List<Vm>> list() {
		return this.latency.call(() -> this.vms);
	}

}
