package org.magnoliahub.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliahub.configuration.FakeTableStore;
import org.magnoliahub.time.SchedulerTimerService;
import org.magnoliahub.time.TimerService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the ownership of a lease under store faults, process pauses and clock drift.
 */
class LeaseManagerTests {

	private static final Duration LEASE_DURATION = Duration.ofSeconds(10);

	private static final Duration STEP = Duration.ofMillis(50);

	/** Guards against two holders at a time, and against reuse of a fencing number. */
	@Property(tries = 60)
	void hasOneHolderPerNumber(@ForAll long seed) {
		Simulation simulation = new Simulation(seed, 3);
		for (int second = 0; second < 240; second++) {
			simulation.injectFaults();
			simulation.advance(Duration.ofSeconds(1));
		}
		simulation.clearFaults();
		simulation.advance(Duration.ofSeconds(25));
		Candidate holder = simulation.holders().get(0);
		holder.frozen = true;
		simulation.advance(Duration.ofSeconds(25));
		assertThat(simulation.holders()).singleElement().isNotEqualTo(holder);
		holder.resume();
		simulation.advance(Duration.ofSeconds(25));
		assertThat(simulation.holders()).singleElement().isNotEqualTo(holder);
		assertThat(simulation.violations).isEmpty();
	}

	/**
	 * Guards against a takeover before the lease expires, and against none afterwards.
	 */
	@ParameterizedTest
	@CsvSource({ "5, true, 1", "8, false, 1", "25, false, 2", "60, false, 2" })
	void takesOverFromFrozenHolder(long frozenSeconds, boolean heldOnResume, long expectedNumber) {
		Simulation simulation = new Simulation(1, 2);
		simulation.advance(Duration.ofSeconds(30));
		Candidate holder = simulation.holders().get(0);
		long previousNumber = holder.manager.fencingNumber().orElseThrow();
		holder.frozen = true;
		simulation.advance(Duration.ofSeconds(frozenSeconds));
		holder.resume();
		assertThat(holder.manager.fencingNumber().isPresent()).isEqualTo(heldOnResume);
		FencingGuard guard = FencingGuard.create();
		simulation.holders().forEach((current) -> guard.admit("duty", current.manager.fencingNumber().orElseThrow()));
		assertThat(guard.admit("duty", previousNumber)).isEqualTo(expectedNumber == previousNumber);
		simulation.advance(Duration.ofSeconds(25));
		assertThat(simulation.holders()).singleElement()
			.extracting((current) -> current.manager.fencingNumber())
			.isEqualTo(OptionalLong.of(expectedNumber));
		assertThat(simulation.violations).isEmpty();
	}

	/**
	 * Guards against a graceful shutdown that leaves the duty without a holder for long.
	 */
	@Test
	void isTakenOverSoonAfterRelease() {
		Simulation simulation = new Simulation(3, 2);
		simulation.advance(Duration.ofSeconds(20));
		Candidate holder = simulation.holders().get(0);
		holder.manager.release().subscribe();
		assertThat(holder.manager.fencingNumber()).isEmpty();
		simulation.advance(Duration.ofSeconds(4));
		assertThat(simulation.holders()).singleElement().isNotEqualTo(holder);
		assertThat(simulation.ownerOfNumber).hasSize(2);
	}

	/**
	 * Guards against commands of a former holder that reach an engine which does not
	 * check fencing numbers itself.
	 */
	@ParameterizedTest
	@CsvSource({ "'1', 'true'", "'1 1 2', 'true true true'", "'2 1 2 3 2', 'true false true true false'" })
	void guardRejectsLowerNumbers(String numbers, String expected) {
		FencingGuard guard = FencingGuard.create();
		List<String> actual = new ArrayList<>();
		for (String number : numbers.split(" ")) {
			actual.add(String.valueOf(guard.admit("duty", Long.parseLong(number))));
		}
		assertThat(String.join(" ", actual)).isEqualTo(expected);
		assertThat(guard.admit("other", 1)).isTrue();
	}

	private static final class Simulation {

		final TestScheduler scheduler = new TestScheduler();

		final TimerService timers = SchedulerTimerService.virtual(this.scheduler);

		final Random random;

		final FakeTableStore store = new FakeTableStore();

		final List<Candidate> candidates = new ArrayList<>();

		final List<String> violations = new ArrayList<>();

		final Map<Long, Candidate> ownerOfNumber = new HashMap<>();

		long highestNumber;

		Simulation(long seed, int count) {
			this.random = new Random(seed);
			for (int index = 0; index < count; index++) {
				this.candidates.add(new Candidate(this, "candidate-" + index));
			}
		}

		List<Candidate> holders() {
			return this.candidates.stream()
				.filter((candidate) -> !candidate.frozen && candidate.manager.fencingNumber().isPresent())
				.toList();
		}

		void injectFaults() {
			for (Candidate candidate : this.candidates) {
				if (this.random.nextInt(30) == 0) {
					candidate.isolatedSeconds = 5 + this.random.nextInt(15);
				}
				candidate.connection.down = candidate.isolatedSeconds-- > 0 || this.random.nextInt(8) == 0;
				candidate.connection.unresponsive = this.random.nextInt(10) == 0;
				candidate.connection.lostResponseProbability = this.random.nextInt(4) * 0.2;
				candidate.connection.nextResponseDelay = Duration
					.ofMillis((this.random.nextInt(4) == 0) ? this.random.nextInt(4_000) : 0);
				if (!candidate.frozen && this.random.nextInt(40) == 0) {
					candidate.frozen = true;
				}
				else if (candidate.frozen && this.random.nextInt(12) == 0) {
					candidate.resume();
				}
			}
		}

		void clearFaults() {
			for (Candidate candidate : this.candidates) {
				candidate.connection.down = false;
				candidate.connection.unresponsive = false;
				candidate.connection.lostResponseProbability = 0;
				candidate.resume();
			}
		}

		void advance(Duration duration) {
			for (long step = 0; step < duration.dividedBy(STEP); step++) {
				this.scheduler.advanceTimeBy(STEP.toMillis(), TimeUnit.MILLISECONDS);
				checkHolders();
			}
		}

		private void checkHolders() {
			List<Candidate> holders = holders();
			if (holders.size() > 1) {
				this.violations.add(this.timers.milliTime() + " ms: " + holders.size() + " holders");
			}
			for (Candidate holder : holders) {
				long number = holder.manager.fencingNumber().orElseThrow();
				Candidate owner = this.ownerOfNumber.putIfAbsent(number, holder);
				if (owner != null && owner != holder) {
					this.violations.add("number " + number + " has two owners");
				}
				if (number < this.highestNumber) {
					this.violations.add("number " + number + " after " + this.highestNumber);
				}
				this.highestNumber = Math.max(this.highestNumber, number);
			}
		}

	}

	/**
	 * A process whose clock is up to 4% fast or slow and that can be frozen: timers and
	 * responses are deferred until it resumes, while its clock continues.
	 */
	private static final class Candidate implements TimerService {

		final Simulation simulation;

		final double rate;

		final long offsetNanos;

		final FakeTableStore.Connection connection;

		final LeaseManager manager;

		final List<Runnable> deferred = new ArrayList<>();

		boolean frozen;

		int isolatedSeconds;

		Candidate(Simulation simulation, String name) {
			this.simulation = simulation;
			this.rate = 0.96 + 0.08 * simulation.random.nextDouble();
			this.offsetNanos = simulation.random.nextLong();
			this.connection = new FakeTableStore.Connection(simulation.store, this, simulation.random);
			this.manager = LeaseManager.of(this.connection, this, new LeaseSettings("duty", name, LEASE_DURATION));
			this.manager.start();
		}

		void resume() {
			this.frozen = false;
			List<Runnable> pending = List.copyOf(this.deferred);
			this.deferred.clear();
			pending.forEach(Runnable::run);
		}

		@Override
		public long nanoTime() {
			return this.offsetNanos + (long) (this.simulation.timers.nanoTime() * this.rate);
		}

		@Override
		public Completable after(Duration delay) {
			return this.simulation.timers.after(Duration.ofNanos((long) (delay.toNanos() / this.rate)))
				.andThen(Completable.create((emitter) -> {
					if (this.frozen) {
						this.deferred.add(emitter::onComplete);
					}
					else {
						emitter.onComplete();
					}
				}));
		}

		@Override
		public Flowable<Long> every(Duration period) {
			throw new UnsupportedOperationException();
		}

	}

}
