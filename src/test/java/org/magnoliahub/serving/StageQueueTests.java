package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against batches that are smaller than necessary, results beyond the capacity of
 * an endpoint, and lost pieces.
 */
class StageQueueTests {

	private final EndpointDirectory directory = ServingFixtures.directory(ServingFixtures.endpoint("a", "ocr", "z1"));

	private final StageQueue queue = new StageQueue("ocr", ServingFixtures.LIMITS, this.directory,
			ServingFixtures.retryBudget());

	private static List<PieceResult> results(StageBatch batch) {
		List<PieceResult> results = new ArrayList<>();
		for (StageTask task : batch.tasks()) {
			results.add(new PieceResult("10.0.0.1:80/" + task.job().jobId() + "-" + task.piece(), "z1", null));
		}
		return results;
	}

	@Test
	void piecesThatArriveDuringABatchShareTheNextOne() {
		this.queue.add(ServingFixtures.job(1, 1, 500, 10), 0);
		StageBatch first = this.queue.nextBatch(0).orElseThrow();
		this.queue.add(ServingFixtures.job(2, 3, 500, 10), 100);
		this.queue.add(ServingFixtures.job(3, 4, 500, 10), 200);
		assertThat(this.queue.nextBatch(200)).isEmpty();
		this.queue.complete(first, results(first), 260);
		assertThat(this.queue.nextBatch(260).orElseThrow().tasks()).hasSize(7);
	}

	@Test
	void batchSizeIsLimited() {
		this.queue.add(ServingFixtures.job(1, 25, 500, 10), 0);
		assertThat(this.queue.nextBatch(0).orElseThrow().tasks()).hasSize(10);
		assertThat(this.queue.size()).isEqualTo(15);
	}

	@Test
	void pieceThatCanMeetItsObjectivePrecedesALateOne() {
		this.queue.add(ServingFixtures.job(1, 10, 50, 10), 0);
		this.queue.add(ServingFixtures.job(2, 10, 900, 10), 0);
		StageBatch batch = this.queue.nextBatch(100).orElseThrow();
		assertThat(batch.tasks()).allMatch((task) -> task.job().jobId() == 2);
	}

	@Test
	void latePieceWithLargeInputsIsNotDeferred() {
		StageJob late = new StageJob(ServingFixtures.ORIGIN, 1, "request-1", 1, List.of(0), null,
				List.of("10.0.0.1:80/x"), true, 10, 50, 100_000, 0, ZonePreference.NONE);
		this.queue.add(late, 0);
		this.queue.add(ServingFixtures.job(2, 10, 900, 10), 0);
		assertThat(this.queue.nextBatch(100).orElseThrow().tasks().get(0).job().jobId()).isEqualTo(1);
	}

	@Test
	void latePieceWithSmallInputsDoesNotDelayPiecesThatCanMeetTheirObjective() {
		StageJob late = new StageJob(ServingFixtures.ORIGIN, 1, "request-1", 1, List.of(0), null,
				List.of("10.0.0.1:80/x"), false, 10, 50, 100_000, 0, ZonePreference.NONE);
		this.queue.add(late, 0);
		this.queue.add(ServingFixtures.job(2, 10, 900, 10), 0);
		assertThat(this.queue.nextBatch(100).orElseThrow().tasks()).allMatch((task) -> task.job().jobId() == 2);
	}

	@Test
	void storedResultsReduceTheCapacityForABatch() {
		this.queue.add(ServingFixtures.job(1, 3, 500, 3_000), 0);
		StageBatch first = this.queue.nextBatch(0).orElseThrow();
		List<PieceResult> produced = results(first);
		this.queue.complete(first, produced, 300);
		this.queue.add(ServingFixtures.job(2, 1, 500, 3_000), 300);
		assertThat(this.queue.nextBatch(300)).isEmpty();
		this.queue.releaseResults(List.of(String.valueOf(produced.get(0).handle())), 400);
		assertThat(this.queue.nextBatch(1_000)).isPresent();
	}

	@Test
	void expiredResultsDoNotReduceTheCapacity() {
		this.queue.add(ServingFixtures.job(1, 3, 500, 3_000), 0);
		StageBatch first = this.queue.nextBatch(0).orElseThrow();
		this.queue.complete(first, results(first), 300);
		this.queue.add(ServingFixtures.job(2, 3, 500, 3_000), 300);
		assertThat(this.queue.nextBatch(4_301).orElseThrow().tasks()).hasSize(3);
	}

	@Test
	void piecesOfAFailedBatchAreRetriedAtAnotherEndpoint() {
		EndpointDirectory two = ServingFixtures.directory(ServingFixtures.endpoint("a", "ocr", "z1"),
				ServingFixtures.endpoint("b", "ocr", "z1"));
		StageQueue other = new StageQueue("ocr", ServingFixtures.LIMITS, two, ServingFixtures.retryBudget());
		other.add(ServingFixtures.job(1, 2, 500, 10), 0);
		StageBatch first = other.nextBatch(0).orElseThrow();
		assertThat(other.fail(first, false, 100)).isEmpty();
		StageBatch second = other.nextBatch(100).orElseThrow();
		assertThat(second.tasks()).hasSize(2);
		assertThat(second.endpoint()).isNotSameAs(first.endpoint());
	}

	@Test
	void pieceFailsAfterThreeAttempts() {
		this.queue.add(ServingFixtures.job(1, 1, 500, 10), 0);
		long now = 0;
		for (int attempt = 0; attempt < 2; attempt++) {
			StageBatch batch = this.queue.nextBatch(now).orElseThrow();
			assertThat(this.queue.fail(batch, true, now)).isEmpty();
			now += 1_000;
		}
		StageBatch last = this.queue.nextBatch(now).orElseThrow();
		assertThat(this.queue.fail(last, true, now)).singleElement()
			.satisfies((piece) -> assertThat(piece.result().failure()).isEqualTo(PieceFailure.FAILED));
	}

	@Test
	void cancelledPiecesDoNotStart() {
		this.queue.add(ServingFixtures.job(1, 2, 500, 10), 0);
		this.queue.cancel(ServingFixtures.ORIGIN, 1);
		assertThat(this.queue.nextBatch(0)).isEmpty();
	}

	@Test
	void runningPieceOfACancelledJobIsMarked() {
		this.queue.add(ServingFixtures.job(1, 1, 500, 10), 0);
		StageBatch batch = this.queue.nextBatch(0).orElseThrow();
		this.queue.cancel(ServingFixtures.ORIGIN, 1);
		assertThat(this.queue.isCancelled(batch.tasks().get(0))).isTrue();
	}

	/**
	 * Guards against jobs of a restarted gateway that are taken for those of its earlier
	 * process, whose numbers they have again.
	 */
	@Test
	void jobsOfAGoneConnectionAreCancelledAndThoseOfItsSuccessorAreKept() {
		JobOrigin successor = new JobOrigin(ServingFixtures.ORIGIN.gateway(), 2);
		this.queue.add(ServingFixtures.job(1, 2, 500, 10), 0);
		StageBatch batch = this.queue.nextBatch(0).orElseThrow();
		this.queue.add(ServingFixtures.job(2, 1, 500, 10), 0);
		this.queue.add(ServingFixtures.job(1, 1, 500, 10).submittedBy(successor, 1), 0);
		assertThat(this.queue.cancelAll(ServingFixtures.ORIGIN)).isEqualTo(3);
		assertThat(batch.tasks()).allMatch(this.queue::isCancelled);
		assertThat(this.queue.complete(batch, results(batch), 300)).hasSize(2);
		StageBatch next = this.queue.nextBatch(300).orElseThrow();
		assertThat(next.tasks()).singleElement().satisfies((task) -> {
			assertThat(task.job().origin()).isEqualTo(successor);
			assertThat(this.queue.isCancelled(task)).isFalse();
		});
	}

	@Test
	void cancellationAndWithdrawalOfAnotherConnectionChangeNothing() {
		JobOrigin successor = new JobOrigin(ServingFixtures.ORIGIN.gateway(), 2);
		this.queue.add(ServingFixtures.job(1, 1, 500, 10), 0);
		StageBatch batch = this.queue.nextBatch(0).orElseThrow();
		this.queue.add(ServingFixtures.job(2, 1, 500, 10), 0);
		this.queue.announce(ServingFixtures.ORIGIN, "request-9", 0, 30, 10, 5_000);
		double expected = this.queue.expectedWaitMillis(0);
		this.queue.cancel(successor, 1);
		this.queue.cancel(successor, 2);
		this.queue.announce(successor, "request-9", 0, 0, 10, 5_000);
		assertThat(this.queue.isCancelled(batch.tasks().get(0))).isFalse();
		assertThat(this.queue.size()).isEqualTo(1);
		assertThat(this.queue.expectedWaitMillis(0)).isEqualTo(expected);
	}

	@Test
	void announcementsOfAGoneConnectionAreWithdrawnAndThoseOfItsSuccessorAreKept() {
		JobOrigin successor = new JobOrigin(ServingFixtures.ORIGIN.gateway(), 2);
		this.queue.announce(ServingFixtures.ORIGIN, "request-1", 0, 30, 10, 5_000);
		double announced = this.queue.expectedWaitMillis(0);
		this.queue.announce(successor, "request-1", 0, 30, 10, 5_000);
		assertThat(this.queue.expectedWaitMillis(0)).isGreaterThan(announced);
		this.queue.cancelAll(ServingFixtures.ORIGIN);
		assertThat(this.queue.expectedWaitMillis(0)).isEqualTo(announced);
	}

	@Test
	void expiredPiecesAreRemoved() {
		StageJob work = new StageJob(ServingFixtures.ORIGIN, 1, "request-1", 0, List.of(0), "key", List.of(), false, 10,
				50, 300, 0, ZonePreference.NONE);
		this.queue.add(work, 0);
		assertThat(this.queue.removeExpired(0)).isEmpty();
		assertThat(this.queue.removeExpired(100)).hasSize(1);
		assertThat(this.queue.size()).isZero();
	}

	@Test
	void expectedWaitGrowsWithTheQueue() {
		assertThat(this.queue.expectedWaitMillis(0)).isZero();
		this.queue.add(ServingFixtures.job(1, 30, 500, 10), 0);
		assertThat(this.queue.expectedWaitMillis(0)).isGreaterThan(900);
	}

	@Test
	void freeEndpointInTheZoneOfTheInputsIsPreferred() {
		EndpointDirectory two = ServingFixtures.directory(ServingFixtures.endpoint("a", "ocr", "z1"),
				ServingFixtures.endpoint("b", "ocr", "z2"));
		StageQueue other = new StageQueue("ocr", ServingFixtures.LIMITS, two, ServingFixtures.retryBudget());
		other.add(jobInZone(1, "z2", 5_000), 0);
		assertThat(other.nextBatch(0).orElseThrow().endpoint().record().id()).isEqualTo("b");
		other.add(jobInZone(2, "z2", 400), 0);
		assertThat(other.nextBatch(0).orElseThrow().endpoint().record().id()).isEqualTo("a");
	}

	@Test
	void announcedPiecesCountUntilTheyAreSubmittedOrExpire() {
		this.queue.announce(ServingFixtures.ORIGIN, "request-1", 0, 30, 10, 5_000);
		double announced = this.queue.expectedWaitMillis(0);
		assertThat(announced).isGreaterThan(900);
		this.queue.add(ServingFixtures.job(1, 30, 500, 10), 0);
		assertThat(this.queue.expectedWaitMillis(0)).isEqualTo(announced);
		this.queue.announce(ServingFixtures.ORIGIN, "request-2", 0, 30, 10, 5_000);
		assertThat(this.queue.expectedWaitMillis(5_001)).isEqualTo(announced);
	}

	@Test
	void expectedWaitFollowsTheObservedSlowdown() {
		long now = 0;
		this.queue.add(ServingFixtures.job(1, 400, 500, 10), now);
		for (int round = 0; round < 10; round++) {
			StageBatch batch = this.queue.nextBatch(now).orElseThrow();
			now += 1_000;
			this.queue.complete(batch, results(batch), now);
			this.queue.releaseResults(results(batch).stream().map((result) -> String.valueOf(result.handle())).toList(),
					now);
		}
		assertThat(this.queue.expectedWaitMillis(now)).isBetween(15_000.0, 45_000.0);
	}

	/**
	 * Guards against transfers of results between zones although there is time to wait
	 * for an endpoint in their zone.
	 */
	@Test
	void pieceWaitsForTheZoneOfItsInputsWhileItHasTime() {
		StageQueue other = twoZones();
		other.add(jobInZone(1, "z2", 5_000), 0);
		assertThat(other.nextBatch(0)).isPresent();
		other.add(jobInZone(2, "z2", 5_000), 0);
		assertThat(other.nextBatch(0)).isEmpty();
		assertThat(other.nextBatch(4_000).orElseThrow().endpoint().record().availabilityZone()).isEqualTo("z1");
	}

	/**
	 * Guards against endpoints that stay idle while pieces wait too long for an endpoint
	 * in another zone.
	 */
	@Test
	void piecesRunInAnyZoneIfTheWaitForTheirZoneIsTooLong() {
		StageQueue other = twoZones();
		for (int jobId = 1; jobId <= 30; jobId++) {
			other.add(jobInZone(jobId, "z2", 1_000), 0);
		}
		assertThat(other.nextBatch(0)).isPresent();
		assertThat(other.nextBatch(0).orElseThrow().endpoint().record().availabilityZone()).isEqualTo("z1");
	}

	@Test
	void pieceWithASmallTransferDoesNotWaitForItsZone() {
		StageQueue other = twoZones();
		other.add(jobInZone(1, "z2", 5_000), 0);
		assertThat(other.nextBatch(0)).isPresent();
		other.add(new StageJob(ServingFixtures.ORIGIN, 2, "request-2", 1, List.of(0), null, List.of("10.0.0.1:80/x"),
				true, 10, 5_000, 100_000, 0, new ZonePreference("z2", 8_000)), 0);
		assertThat(other.nextBatch(0)).isPresent();
	}

	@Test
	void pieceWithALargeResultDoesNotWaitForAZoneWithoutCapacity() {
		StageQueue other = twoZones();
		StageJob large = new StageJob(ServingFixtures.ORIGIN, 1, "request-1", 0, List.of(0), "key", List.of(), false,
				10_000, 5_000, 100_000, 0, new ZonePreference("z2", 1_000_000));
		other.add(large, 0);
		StageBatch batch = other.nextBatch(0).orElseThrow();
		other.complete(batch, results(batch), 300);
		other.add(new StageJob(ServingFixtures.ORIGIN, 2, "request-2", 0, List.of(0), "key", List.of(), false, 10_000,
				5_000, 100_000, 0, new ZonePreference("z2", 1_000_000)), 300);
		assertThat(other.nextBatch(300).orElseThrow().endpoint().record().availabilityZone()).isEqualTo("z1");
	}

	@Test
	void pieceDoesNotWaitForAZoneWithoutEndpoints() {
		StageQueue other = twoZones();
		other.add(jobInZone(1, "z3", 5_000), 0);
		assertThat(other.nextBatch(0)).isPresent();
	}

	private static StageQueue twoZones() {
		EndpointDirectory two = ServingFixtures.directory(ServingFixtures.endpoint("a", "ocr", "z1"),
				ServingFixtures.endpoint("b", "ocr", "z2"));
		return new StageQueue("ocr", ServingFixtures.LIMITS, two, ServingFixtures.retryBudget());
	}

	private static StageJob jobInZone(long jobId, String zone, long startDeadline) {
		return new StageJob(ServingFixtures.ORIGIN, jobId, "request-" + jobId, 1, List.of(0), null,
				List.of("10.0.0.1:80/x"), true, 10, startDeadline, 100_000, 0, new ZonePreference(zone, 1_000_000));
	}

	/**
	 * Guards against the failure of pieces that have time to wait for result capacity.
	 * The endpoint reports that it has none, because it stores results of an earlier
	 * owner of the queue, which the new owner does not know.
	 */
	@Test
	void pieceWaitsForRoomThatResultsOfAnEarlierOwnerTake() {
		this.queue.add(ServingFixtures.job(1, 3, 500, 3_000), 0);
		int batches = 0;
		for (long now = 0; now < 4_000; now += 10) {
			Optional<StageBatch> batch = this.queue.nextBatch(now);
			if (batch.isPresent()) {
				batches++;
				assertThat(this.queue.complete(batch.get(), noCapacityResults(batch.get()), now + 1)).isEmpty();
			}
		}
		assertThat(batches).isBetween(4, 27);
		StageBatch last = this.queue.nextBatch(4_200).orElseThrow();
		assertThat(this.queue.complete(last, results(last), 4_500)).hasSize(3);
	}

	@Test
	void pieceWithoutCapacityIsRemovedWhenItsRequestExpires() {
		this.queue.add(new StageJob(ServingFixtures.ORIGIN, 1, "request-1", 0, List.of(0), "key", List.of(), false, 10,
				500, 1_000, 0, ZonePreference.NONE), 0);
		StageBatch batch = this.queue.nextBatch(0).orElseThrow();
		assertThat(this.queue.complete(batch, noCapacityResults(batch), 1)).isEmpty();
		assertThat(this.queue.removeExpired(900)).hasSize(1);
		assertThat(this.queue.nextBatch(900)).isEmpty();
	}

	private static List<PieceResult> noCapacityResults(StageBatch batch) {
		return batch.tasks().stream().map((task) -> PieceResult.failed(PieceFailure.NO_ROOM)).toList();
	}

}
