package org.magnoliahub.command;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;

import io.reactivex.rxjava3.schedulers.Schedulers;
import org.magnoliahub.claim.ClaimAdministration;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.entry.PlatformObjectStore;
import org.magnoliahub.report.DailyReport;
import org.magnoliahub.report.RecordReader;
import org.magnoliahub.report.ReportBuilder;
import org.magnoliahub.store.InMemoryTableStore;
import org.magnoliahub.time.SchedulerTimerService;
import org.magnoliahub.time.TimerService;

/**
 * Reads the daily report of what entry gateways served from the users' platform. These
 * gateways keep neither claims nor a configuration of their own, so these parts are
 * empty.
 */
final class EntryReport {

	private EntryReport() {
	}

	/**
	 * Reads the report.
	 * @param store address of the platform's store
	 * @param now time of the report
	 * @param maximumObjects most objects read per day, at least 1
	 * @return the report, never an error of the store
	 */
	static DailyReport read(InetSocketAddress store, Instant now, int maximumObjects) {
		TimerService timers = SchedulerTimerService.of(Schedulers.single(), System::nanoTime);
		InMemoryTableStore none = InMemoryTableStore.of(timers, Duration.ZERO);
		try (PlatformObjectStore objects = PlatformObjectStore.open(store)) {
			return ReportBuilder
				.of(RecordReader.of(objects, Schedulers.computation()), ConfigurationRepository.of(none, objects),
						ClaimAdministration.of(none), () -> now, maximumObjects)
				.build()
				.blockingGet();
		}
	}

}
