package org.magnoliahub.store;

import java.time.Duration;

import io.reactivex.rxjava3.schedulers.Schedulers;
import org.magnoliahub.time.SchedulerTimerService;

class InMemoryTableStoreTests extends TableStoreContractTests {

	private final InMemoryTableStore store = InMemoryTableStore
		.of(SchedulerTimerService.of(Schedulers.trampoline(), () -> 0), Duration.ZERO);

	@Override
	protected TableStore store() {
		return this.store;
	}

}
