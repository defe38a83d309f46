package org.magnoliahub.server;

import java.time.Duration;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.disposables.Disposable;
import org.magnoliahub.claim.ClaimCleanup;
import org.magnoliahub.claim.ClaimSettings;
import org.magnoliahub.lease.LeaseManager;
import org.magnoliahub.lease.LeaseSettings;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.time.TimerService;

/**
 * Removes expired claims, in one gateway at a time. A second gateway that runs it by
 * mistake does no harm; the lease only spares the table service.
 */
final class ClaimCleanupDuty {

	// A long lease, since a late start of the cleanup costs nothing and each candidate
	// reads the row four times per duration.
	private static final Duration LEASE_DURATION = Duration.ofSeconds(60);

	private static final Duration PERIOD = Duration.ofSeconds(30);

	private static final int CLAIMS_PER_ROUND = 1_000;

	private final LeaseManager lease;

	private final ClaimCleanup cleanup;

	private final TimerService timers;

	private final Counter examined;

	private final Counter failures;

	private Disposable rounds = Disposable.disposed();

	ClaimCleanupDuty(String gateway, TableStore store, TimerService timers, ClaimSettings settings,
			MeterRegistry meters) {
		this.lease = LeaseManager.of(store, timers, new LeaseSettings("claim-cleanup", gateway, LEASE_DURATION));
		this.cleanup = ClaimCleanup.of(store, timers, settings);
		this.timers = timers;
		this.examined = meters.counter("magnoliahub.claims.cleanup.examined");
		this.failures = meters.counter("magnoliahub.claims.cleanup.failures");
	}

	void start() {
		this.lease.start();
		this.rounds = this.timers.every(PERIOD)
			.filter((tick) -> this.lease.fencingNumber().isPresent())
			.concatMapSingle((tick) -> this.cleanup.run(CLAIMS_PER_ROUND).onErrorReturn((failure) -> {
				this.failures.increment();
				return 0;
			}))
			.subscribe(this.examined::increment);
	}

	void stop() {
		this.rounds.dispose();
		Disposable released = this.lease.release().subscribe(() -> {
		}, (failure) -> this.failures.increment());
		this.timers.after(Duration.ofSeconds(1)).subscribe(released::dispose);
	}

}
