package org.magnoliahub.store;

import java.time.Duration;

import io.reactivex.rxjava3.schedulers.Schedulers;
import org.magnoliahub.time.SchedulerTimerService;

class InMemoryObjectStoreTests extends ObjectStoreContractTests {

	private final InMemoryObjectStore store = InMemoryObjectStore
		.of(SchedulerTimerService.of(Schedulers.trampoline(), () -> 0), Duration.ZERO);

	@Override
	protected ObjectStore store() {
		return this.store;
	}

}
