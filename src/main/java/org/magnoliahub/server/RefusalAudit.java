package org.magnoliahub.server;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.magnoliahub.configuration.AuditEntry;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.time.TimerService;

/**
 * Records calls without a valid token in the audit trail: the first one at once, further
 * ones summed up, so that a flood of them does not become a flood of writes. All methods
 * run on the event loop.
 */
final class RefusalAudit {

	/** Shortest time between two entries. */
	static final Duration INTERVAL = Duration.ofSeconds(60);

	private final String gateway;

	private final ConfigurationRepository repository;

	private final TimerService timers;

	private final Supplier<Instant> wallTime;

	private final Supplier<String> ids;

	private final Counter refused;

	private final Counter failures;

	private long unrecorded;

	private String latest = "";

	private boolean waiting;

	RefusalAudit(String gateway, ConfigurationRepository repository, TimerService timers, Supplier<Instant> wallTime,
			Supplier<String> ids, MeterRegistry meters) {
		this.gateway = gateway;
		this.repository = repository;
		this.timers = timers;
		this.wallTime = wallTime;
		this.ids = ids;
		this.refused = meters.counter("magnoliahub.operator.refused");
		this.failures = meters.counter("magnoliahub.operator.audit.failures");
	}

	/**
	 * Counts a refused call; safe on any thread.
	 */
	void count() {
		this.refused.increment();
	}

	/**
	 * Records a refused call in the audit trail; called on the event loop.
	 * @param path path of the call
	 * @param address address of the caller
	 */
	void record(String path, String address) {
		this.unrecorded++;
		this.latest = path + " from " + address;
		if (!this.waiting) {
			write();
		}
	}

	private void write() {
		this.waiting = true;
		long count = this.unrecorded;
		this.unrecorded = 0;
		AuditEntry entry = AuditEntry.ofCommand(this.wallTime.get(), this.ids.get(), this.gateway,
				AuditEntry.Result.UNAUTHENTICATED, count + " calls, the latest of " + this.latest,
				List.of("the operator token is missing or wrong"));
		this.repository.appendAuditEntry(entry).subscribe(() -> {
		}, (failure) -> {
			this.failures.increment();
			this.unrecorded += count;
		});
		this.timers.after(INTERVAL).subscribe(() -> {
			this.waiting = false;
			if (this.unrecorded > 0) {
				write();
			}
		});
	}

}
