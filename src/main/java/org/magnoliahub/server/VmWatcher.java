package org.magnoliahub.server;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import org.magnoliahub.model.Vm;
import org.magnoliahub.store.VmInventory;
import org.magnoliahub.time.TimerService;

/**
 * Polls the platform's list of VMs. The list lags, so it only backs up what agents say
 * themselves; while it cannot be read, the last list stands.
 */
final class VmWatcher {

	private static final Duration PERIOD = Duration.ofSeconds(10);

	private static final double JITTER = 0.2;

	private final VmInventory inventory;

	private final TimerService timers;

	private final RandomGenerator random;

	private final Counter failures;

	private Disposable polls = Disposable.disposed();

	VmWatcher(VmInventory inventory, TimerService timers, RandomGenerator random, MeterRegistry meters) {
		this.inventory = inventory;
		this.timers = timers;
		this.random = random;
		this.failures = meters.counter("magnoliahub.inventory.failures");
	}

	/**
	 * Starts to poll.
	 * @param listed receives the list after each successful poll
	 */
	void start(Consumer<List<Vm>> listed) {
		this.polls = Completable.defer(() -> poll(listed)).repeat().subscribe();
	}

	void stop() {
		this.polls.dispose();
	}

	private Completable poll(Consumer<List<Vm>> listed) {
		Duration pause = Duration.ofNanos((long) (PERIOD.toNanos() * (1 - JITTER * this.random.nextDouble())));
		return this.inventory.list()
			.doOnSuccess(listed::accept)
			.doOnError((failure) -> this.failures.increment())
			.ignoreElement()
			.onErrorComplete()
			.andThen(this.timers.after(pause));
	}

}
