package org.magnoliahub.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.store.FaultyTableStore;
import org.magnoliahub.store.InMemoryTableStore;
import org.magnoliahub.store.StoreFaults;
import org.magnoliahub.time.SchedulerTimerService;

import static org.assertj.core.api.Assertions.assertThat;

class ClaimRepositoryTests {

	private static final Duration BUDGET = Duration.ofSeconds(5);

	private static final ClaimSettings SETTINGS = ClaimSettings.defaults();

	private final TestScheduler scheduler = new TestScheduler();

	private final SchedulerTimerService timers = SchedulerTimerService.virtual(this.scheduler);

	private final InMemoryTableStore table = InMemoryTableStore.of(this.timers, Duration.ofMillis(4));

	private final StoreFaults faults = StoreFaults.none();

	private final ClaimRepository repository = ClaimRepository.of(
			FaultyTableStore.of(this.table, this.faults, this.timers, new Random(1), Duration.ofMillis(500)),
			this.timers, new Random(2), SETTINGS);

	private static Claim claim(String key, String token) {
		return new Claim("kushiro", key, "hash", token, new RequestId("request-" + token), new ClaimPhase.Open());
	}

	private <T> T await(Single<T> call, Duration limit) {
		List<T> results = new ArrayList<>();
		call.subscribe((result) -> results.add(result));
		this.scheduler.advanceTimeBy(limit.toMillis(), TimeUnit.MILLISECONDS);
		assertThat(results).as("results within the budget").hasSize(1);
		return results.get(0);
	}

	/**
	 * Guards against a result that reports more or less than the store did. The faults
	 * last for the first 700 ms, the budget is 300 ms or 5 s.
	 */
	@ParameterizedTest
	@CsvSource(textBlock = """
			# unavailable, extra ms, fail before, lost answer, budget ms; result
			false,   0, 0, 0, 5000, Acquired
			true,    0, 0, 0, 5000, Acquired
			false, 600, 0, 0, 5000, Acquired
			false,   0, 1, 0, 5000, Acquired
			false,   0, 0, 1, 5000, Acquired
			true,    0, 0, 0,  300, Unavailable[effectPossible=true
			false, 600, 0, 0,  300, Unavailable[effectPossible=true
			false,   0, 1, 0,  300, Unavailable[effectPossible=false
			false,   0, 0, 1,  300, Unavailable[effectPossible=true
			""")
	void acquireResultMatchesEffect(boolean unavailable, long extraMillis, double failBefore, double lostAnswer,
			long budgetMillis, String expected) {
		this.faults.setUnavailable(unavailable);
		this.faults.setExtraLatency(Duration.ofMillis(extraMillis));
		this.faults.setFailBeforeProbability(failBefore);
		this.faults.setLostResponseProbability(lostAnswer);
		List<AcquireResult> results = new ArrayList<>();
		this.repository.acquire(claim("key", "a"), Duration.ofMillis(budgetMillis))
			.subscribe((result) -> results.add(result));
		this.scheduler.advanceTimeBy(700, TimeUnit.MILLISECONDS);
		this.faults.setUnavailable(false);
		this.faults.setExtraLatency(Duration.ZERO);
		this.faults.setFailBeforeProbability(0);
		this.faults.setLostResponseProbability(0);
		this.scheduler.advanceTimeBy(BUDGET.toMillis(), TimeUnit.MILLISECONDS);
		assertThat(results).singleElement().asString().startsWith(expected);
	}

	/**
	 * Guards against a conflict on one row that makes the other writes of its transaction
	 * fail.
	 */
	@Test
	void conflictOnOneRowDoesNotAffectOthers() {
		await(this.repository.acquire(claim("b", "first"), BUDGET), BUDGET);
		List<AcquireResult> results = new ArrayList<>();
		for (String key : List.of("a", "b", "c")) {
			this.repository.acquire(claim(key, "second-" + key), BUDGET).subscribe((result) -> results.add(result));
		}
		this.scheduler.advanceTimeBy(100, TimeUnit.MILLISECONDS);
		assertThat(results).filteredOn(AcquireResult.Acquired.class::isInstance).hasSize(2);
		assertThat(results).filteredOn(AcquireResult.Existing.class::isInstance)
			.singleElement()
			.extracting((result) -> ((AcquireResult.Existing) result).stored().claim())
			.isEqualTo(claim("b", "first"));
	}

	/**
	 * Guards against writes of a gateway whose claim was taken over while its process was
	 * suspended.
	 */
	@Test
	void updateWithOldRevisionConflicts() {
		StoredClaim first = ((AcquireResult.Acquired) await(this.repository.acquire(claim("key", "a"), BUDGET), BUDGET))
			.stored();
		Claim taken = first.claim().withOwner("b");
		assertThat(await(this.repository.update(taken, first.revision(), BUDGET), BUDGET))
			.isInstanceOf(UpdateResult.Updated.class);
		Claim late = first.claim().withPhase(new ClaimPhase.Finished(new Outcome.Complete("late")));
		UpdateResult result = await(this.repository.update(late, first.revision(), BUDGET), BUDGET);
		assertThat(result).isInstanceOf(UpdateResult.Conflict.class);
		assertThat(((UpdateResult.Conflict) result).current().claim()).isEqualTo(taken);
	}

	/**
	 * Guards against unlimited growth of the store, and against the removal of claims
	 * whose request may have run or that finished within the retention period.
	 */
	@Test
	void cleanupRemovesOnlyExpiredAndResolvedClaims() {
		ClaimCleanup cleanup = ClaimCleanup.of(this.table, this.timers, SETTINGS);
		for (String key : List.of("open", "finished", "assigned", "unknown")) {
			await(this.repository.acquire(claim(key, key), BUDGET).flatMap((result) -> {
				StoredClaim stored = ((AcquireResult.Acquired) result).stored();
				ClaimPhase phase = switch (key) {
					case "finished" -> new ClaimPhase.Finished(new Outcome.Complete("answer"));
					case "assigned" -> new ClaimPhase.Assigned(0, "endpoint", 7, 1, 1000, 1);
					case "unknown" -> new ClaimPhase.Finished(new Outcome.Unknown("filing", "agent lost"));
					default -> new ClaimPhase.Open();
				};
				return this.repository.update(stored.claim().withPhase(phase), stored.revision(), BUDGET);
			}), BUDGET);
		}
		runCleanup(cleanup, Duration.ofHours(24));
		assertThat(this.table.size(ClaimTables.CLAIM)).isEqualTo(4);
		runCleanup(cleanup, Duration.ofHours(6));
		assertThat(this.table.size(ClaimTables.CLAIM)).as("only unresolved claims stay").isEqualTo(2);
		StoredClaim unknown = await(this.repository.find("kushiro", "unknown", BUDGET), BUDGET).orElseThrow();
		await(this.repository.update(
				unknown.claim().withPhase(new ClaimPhase.Finished(new Outcome.Complete("resolved"))),
				unknown.revision(), BUDGET), BUDGET);
		runCleanup(cleanup, Duration.ofHours(30));
		assertThat(this.table.size(ClaimTables.CLAIM)).as("resolved late, so retained once more").isEqualTo(2);
		runCleanup(cleanup, Duration.ofHours(30));
		assertThat(this.table.size(ClaimTables.CLAIM)).isEqualTo(1);
		assertThat(this.table.size(ClaimTables.EXPIRY)).isEqualTo(1);
	}

	private void runCleanup(ClaimCleanup cleanup, Duration duration) {
		// Calls are 7 min apart, so the epoch advances after 63 min instead of 60 min.
		for (long minutes = 0; minutes < duration.toMinutes(); minutes += 7) {
			cleanup.run(100).subscribe();
			this.scheduler.advanceTimeBy(7, TimeUnit.MINUTES);
		}
	}

}
