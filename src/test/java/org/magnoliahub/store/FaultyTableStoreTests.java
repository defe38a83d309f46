package org.magnoliahub.store;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliahub.time.SchedulerTimerService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against fault injection that reports an impossible outcome: a call that neither
 * succeeds nor fails, or an error that contradicts the effect of the call.
 */
class FaultyTableStoreTests {

	private static final Duration TIMEOUT = Duration.ofMillis(100);

	private static final RowKey KEY = new RowKey("table", "key");

	@ParameterizedTest
	@CsvSource(textBlock = """
			# unavailable, extra ms, fail before, lost response; received, effect possible, in effect after 300 ms
			false,   0, 0, 0, true,  false, true
			true,    0, 0, 0, false, true,  false
			false, 200, 0, 0, false, true,  true
			false,   0, 1, 0, false, false, false
			false,   0, 0, 1, false, true,  true
			""")
	void resultMatchesEffect(boolean unavailable, long extraMillis, double failBefore, double lostResponse,
			boolean responseReceived, boolean effectPossible, boolean inEffectLater) {
		TestScheduler scheduler = new TestScheduler();
		SchedulerTimerService timers = SchedulerTimerService.virtual(scheduler);
		StoreFaults faults = StoreFaults.none();
		faults.setUnavailable(unavailable);
		faults.setExtraLatency(Duration.ofMillis(extraMillis));
		faults.setFailBeforeProbability(failBefore);
		faults.setLostResponseProbability(lostResponse);
		InMemoryTableStore store = InMemoryTableStore.of(timers, Duration.ofMillis(2));
		TestObserver<TransactionResult> commit = FaultyTableStore.of(store, faults, timers, new Random(1), TIMEOUT)
			.commit(new Transaction(List.of(), List.of(new Write.Put(KEY, "1"))))
			.test();
		scheduler.advanceTimeBy(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		if (responseReceived) {
			commit.assertValue(new TransactionResult.Committed(1));
		}
		else {
			commit
				.assertError((error) -> error instanceof StoreException ex && ex.isEffectPossible() == effectPossible);
		}
		scheduler.advanceTimeBy(200, TimeUnit.MILLISECONDS);
		assertThat(store.size("table")).isEqualTo(inEffectLater ? 1 : 0);
	}

}
