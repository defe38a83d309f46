package org.magnoliahub.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.claim.AcquireResult;
import org.magnoliahub.claim.Claim;
import org.magnoliahub.claim.ClaimPhase;
import org.magnoliahub.claim.StoredClaim;
import org.magnoliahub.claim.UpdateResult;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RefusalReason;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.model.StageDefinition;
import org.magnoliahub.model.StageType;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.store.StoreException;

/**
 * Acquires and updates the claim of one submission with an idempotency key. A submission
 * that finds an unfinished claim of another submission polls it. If the claim stays
 * unchanged for the takeover delay, the submission takes it over, at most once. If an
 * attempt is recorded in the claim, its agent must first have revoked the attempt or
 * reported how it ended. Each change is a compare-and-set on the revision, so an owner
 * that was replaced while its process was suspended detects this before it sends
 * anything.
 */
final class ClaimSession {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

	private static final Duration LOOKUP_TIMEOUT = Duration.ofSeconds(2);

	// Covers both the read and the update of the claim. The caller may already be waiting
	// past its deadline.
	private static final Duration CONFIRM_TIMEOUT = Duration.ofMillis(500);

	private static final Duration FINISH_TIMEOUT = Duration.ofSeconds(60);

	private final GatewayContext context;

	private final RequestId requestId;

	private final PipelineDefinition pipeline;

	private final Submission submission;

	private final String inputHash;

	private final Set<String> ownTokens = new HashSet<>();

	private @Nullable StoredClaim ownedClaim;

	private @Nullable StoredClaim polledClaim;

	private long unchangedSinceMillis;

	private boolean takeoverStarted;

	private boolean outcomeConfirmed;

	private long confirmDeadlineMillis;

	ClaimSession(GatewayContext context, RequestId requestId, PipelineDefinition pipeline, Submission submission,
			String inputHash) {
		this.context = context;
		this.requestId = requestId;
		this.pipeline = pipeline;
		this.submission = submission;
		this.inputHash = inputHash;
	}

	/**
	 * Looks up the outcome of an idempotency key.
	 * @param context shared objects of the gateway
	 * @param workspace name of the workspace
	 * @param idempotencyKey the key
	 * @return the outcome, empty if there is no claim; {@link Outcome.Unknown} while the
	 * request has not ended
	 */
	static Single<Optional<Outcome>> lookUp(GatewayContext context, String workspace, String idempotencyKey) {
		return context.claims()
			.find(workspace, idempotencyKey, LOOKUP_TIMEOUT)
			.map((found) -> found.map((stored) -> (stored.claim().phase() instanceof ClaimPhase.Finished finished)
					? finished.outcome() : new Outcome.Unknown("", "the request has not ended")));
	}

	/**
	 * Returns the outcome to report for a request whose claim could not be checked.
	 * @param outcome the outcome of this submission alone
	 * @return an outcome whose detail states what was not checked
	 */
	static Outcome uncheckedOutcome(Outcome outcome) {
		if (!(outcome instanceof Outcome.NotRun refusal)) {
			return new Outcome.Unknown("", "the table service does not answer, so it is not known whether another "
					+ "submission with the same idempotency key has run");
		}
		return new Outcome.NotRun(RefusalReason.STORE_UNAVAILABLE, refusal.detail()
				+ "; this submission did not run, but the table service does not answer or has too "
				+ "many requests, so an earlier submission with the same idempotency key could not be looked up",
				refusal.retryAfter());
	}

	private Duration remainingConfirmTime() {
		return atLeastOneMillisecond(Duration.ofMillis(this.confirmDeadlineMillis - this.context.timers().milliTime()));
	}

	private static Outcome keyReusedRefusal() {
		return new Outcome.NotRun(RefusalReason.IDEMPOTENCY_KEY_REUSED,
				"the idempotency key was used before with another input; use a new key", Duration.ZERO);
	}

	/**
	 * Returns whether this submission is waiting for another submission with the same
	 * key.
	 * @return {@code true} while it polls a claim that it does not own
	 */
	boolean isAwaitingOtherSubmission() {
		return this.polledClaim != null && this.ownedClaim == null;
	}

	/**
	 * Acquires the claim before an idempotent first stage.
	 * @param budget remaining time
	 * @return whether the request may run; fails with a {@link StoreException} if the
	 * store does not respond
	 */
	Single<ClaimCheckResult> acquireOpen(Duration budget) {
		return acquire(new ClaimPhase.Open(), budget);
	}

	/**
	 * Records a non-idempotent attempt before it is sent.
	 * @param execute message that starts the attempt
	 * @param endpoint name of the endpoint
	 * @param budget remaining time
	 * @return whether the request may run; fails with a {@link StoreException} if the
	 * store does not respond
	 */
	Single<ClaimCheckResult> recordAttempt(Message.Execute execute, String endpoint, Duration budget) {
		AttemptId attempt = execute.attempt();
		ClaimPhase.Assigned phase = new ClaimPhase.Assigned(attempt.stage(), endpoint, execute.targetIncarnation(),
				attempt.attempt(), execute.agentMillisSeen(), this.context.configuration().get().version());
		StoredClaim current = this.ownedClaim;
		if (current == null) {
			return acquire(phase, budget).flatMap((result) -> recordAttemptAfterTakeover(result, phase, budget));
		}
		return update(current, current.claim().withPhase(phase), budget, this::proceedAsOwner);
	}

	/**
	 * Confirms the outcome of a request whose non-idempotent stage did not complete.
	 * Another submission may have taken over the claim while this process was suspended,
	 * so the outcome is valid only if that did not happen.
	 * @param outcome the outcome
	 * @return the outcome to report to the caller; fails with a {@link StoreException} if
	 * the claim cannot be checked
	 */
	Single<Outcome> confirm(Outcome outcome) {
		if (!this.context.claims().isStoreAvailable()) {
			return storeUnavailable("it failed several times in a row");
		}
		this.confirmDeadlineMillis = this.context.timers().milliTime() + CONFIRM_TIMEOUT.toMillis();
		StoredClaim current = this.ownedClaim;
		if (current != null) {
			return confirmAgainst(current, outcome);
		}
		return this.context.claims()
			.find(this.submission.workspace(), idempotencyKey(), remainingConfirmTime())
			.flatMap((found) -> found.isPresent() ? confirmAgainst(found.get(), outcome) : Single.just(outcome));
	}

	/**
	 * Records the outcome if this submission owns the claim.
	 * @param outcome the outcome
	 * @return completes when the outcome was recorded or the update was not possible
	 */
	Completable finish(Outcome outcome) {
		StoredClaim current = this.ownedClaim;
		if (current == null || this.outcomeConfirmed) {
			return Completable.complete();
		}
		Claim finished = current.claim().withPhase(new ClaimPhase.Finished(outcome));
		return this.context.claims().update(finished, current.revision(), FINISH_TIMEOUT).ignoreElement();
	}

	private Single<Outcome> confirmAgainst(StoredClaim stored, Outcome outcome) {
		Claim claim = stored.claim();
		if (!claim.inputHash().equals(this.inputHash)) {
			return Single.just((outcome instanceof Outcome.NotRun) ? keyReusedRefusal() : outcome);
		}
		if (claim.phase() instanceof ClaimPhase.Finished finished) {
			return Single.just(isRerunAllowed(finished.outcome()) ? outcome : finished.outcome());
		}
		if (!this.ownTokens.contains(claim.ownerToken())) {
			return Single.just(new Outcome.Unknown("", "an earlier submission with the same key has not ended"));
		}
		Claim finished = claim.withPhase(new ClaimPhase.Finished(outcome));
		return this.context.claims().update(finished, stored.revision(), remainingConfirmTime()).flatMap((result) -> {
			if (result instanceof UpdateResult.Updated) {
				this.outcomeConfirmed = true;
				return Single.just(outcome);
			}
			if (result instanceof UpdateResult.Conflict conflict) {
				return confirmAgainst(conflict.current(), outcome);
			}
			if (result instanceof UpdateResult.Missing) {
				return Single.just(outcome);
			}
			return storeUnavailable(((UpdateResult.Unavailable) result).detail());
		});
	}

	private Single<ClaimCheckResult> recordAttemptAfterTakeover(ClaimCheckResult result, ClaimPhase.Assigned phase,
			Duration budget) {
		StoredClaim current = this.ownedClaim;
		boolean attemptNotRecorded = result instanceof ClaimCheckResult.Proceed proceed
				&& proceed.recoveredOutput().isEmpty() && current != null && !current.claim().phase().equals(phase);
		if (!attemptNotRecorded || current == null) {
			return Single.just(result);
		}
		return update(current, current.claim().withPhase(phase), budget, this::proceedAsOwner);
	}

	private Single<ClaimCheckResult> acquire(ClaimPhase phase, Duration budget) {
		if (!this.context.claims().isStoreAvailable()) {
			return Single.error(new StoreException("the table service does not answer", false));
		}
		Claim claim = new Claim(this.submission.workspace(), idempotencyKey(), this.inputHash, newToken(),
				this.requestId, phase);
		return this.context.claims().acquire(claim, atLeastOneMillisecond(budget)).flatMap((result) -> {
			if (result instanceof AcquireResult.Acquired acquired) {
				this.ownedClaim = acquired.stored();
				return Single.just(new ClaimCheckResult.Proceed(Optional.empty()));
			}
			if (result instanceof AcquireResult.Existing existing) {
				return handleExisting(existing.stored(), budget);
			}
			return storeUnavailable(((AcquireResult.Unavailable) result).detail());
		});
	}

	private Single<ClaimCheckResult> handleExisting(StoredClaim stored, Duration budget) {
		this.ownedClaim = null;
		Claim claim = stored.claim();
		if (!claim.inputHash().equals(this.inputHash)) {
			return Single.just(new ClaimCheckResult.EarlierOutcome(keyReusedRefusal()));
		}
		if (claim.phase() instanceof ClaimPhase.Finished finished) {
			return isRerunAllowed(finished.outcome()) ? reopen(stored, budget)
					: Single.just(new ClaimCheckResult.EarlierOutcome(finished.outcome()));
		}
		long now = this.context.timers().milliTime();
		StoredClaim previous = this.polledClaim;
		if (previous == null || previous.revision() != stored.revision()) {
			this.polledClaim = stored;
			this.unchangedSinceMillis = now;
		}
		boolean unchanged = now - this.unchangedSinceMillis >= this.context.limits().takeoverDelay().toMillis();
		if (unchanged && !this.takeoverStarted) {
			return takeOver(stored, budget);
		}
		return poll(budget);
	}

	private Single<ClaimCheckResult> poll(Duration budget) {
		double jitter = 0.5 + this.context.random().nextDouble();
		Duration interval = Duration.ofMillis((long) (POLL_INTERVAL.toMillis() * jitter));
		return this.context.timers()
			.after(interval)
			.andThen(Single.defer(() -> this.context.claims()
				.find(this.submission.workspace(), idempotencyKey(), atLeastOneMillisecond(budget))))
			.flatMap((found) -> found.isPresent() ? handleExisting(found.get(), budget)
					: acquire(new ClaimPhase.Open(), budget));
	}

	private Single<ClaimCheckResult> takeOver(StoredClaim stored, Duration budget) {
		if (!(stored.claim().phase() instanceof ClaimPhase.Assigned assigned)) {
			this.takeoverStarted = true;
			return reopen(stored, budget);
		}
		Configuration configuration = this.context.configuration().get();
		boolean endpointRemoved = configuration.version() > assigned.configurationVersion()
				&& !configuration.endpoints().containsKey(assigned.endpoint());
		if (endpointRemoved) {
			return finishClaim(stored, new Outcome.Unknown(stageName(assigned.stage()), "endpoint "
					+ assigned.endpoint() + " is no longer declared, so nobody can tell whether the call ran"), budget);
		}
		return findConnection(assigned.endpoint()).map((connection) -> {
			this.takeoverStarted = true;
			Message.Execute recorded = recordedAttempt(stored.claim(), assigned);
			return StageAttempt.revoke(this.context.dispatcher(), connection, recorded)
				.flatMap((result) -> handleRevocationResult(stored, assigned, result, budget));
		}).orElseGet(() -> poll(budget));
	}

	private Single<ClaimCheckResult> handleRevocationResult(StoredClaim stored, ClaimPhase.Assigned assigned,
			AttemptResult result, Duration budget) {
		if (result instanceof AttemptResult.NeverStarted) {
			return reopen(stored, budget);
		}
		if (!(result instanceof AttemptResult.Completed completed)) {
			String detail = (result instanceof AttemptResult.Failed failed) ? failed.detail()
					: ((AttemptResult.Lost) result).detail();
			Outcome unknown = new Outcome.Unknown(stageName(assigned.stage()), detail);
			return finishClaim(stored, unknown, budget);
		}
		if (assigned.stage() == this.pipeline.stages().size() - 1) {
			return finishClaim(stored, new Outcome.Complete(completed.output().content()), budget);
		}
		return update(stored, stored.claim().withOwner(newToken()), budget, (updated) -> {
			this.ownedClaim = updated;
			return Single.just(new ClaimCheckResult.Proceed(Optional.of(completed.output())));
		});
	}

	private Single<ClaimCheckResult> finishClaim(StoredClaim stored, Outcome outcome, Duration budget) {
		Claim finished = stored.claim().withOwner(newToken()).withPhase(new ClaimPhase.Finished(outcome));
		return update(stored, finished, budget,
				(updated) -> Single.just((ClaimCheckResult) new ClaimCheckResult.EarlierOutcome(outcome)));
	}

	private Single<ClaimCheckResult> reopen(StoredClaim stored, Duration budget) {
		Claim open = new Claim(this.submission.workspace(), idempotencyKey(), this.inputHash, newToken(),
				this.requestId, new ClaimPhase.Open());
		return update(stored, open, budget, this::proceedAsOwner);
	}

	private Single<ClaimCheckResult> proceedAsOwner(StoredClaim stored) {
		this.ownedClaim = stored;
		return Single.just(new ClaimCheckResult.Proceed(Optional.empty()));
	}

	private Single<ClaimCheckResult> update(StoredClaim stored, Claim next, Duration budget,
			Function<StoredClaim, Single<ClaimCheckResult>> whenUpdated) {
		return this.context.claims()
			.update(next, stored.revision(), atLeastOneMillisecond(budget))
			.flatMap((result) -> {
				if (result instanceof UpdateResult.Updated updated) {
					return whenUpdated.apply(updated.stored());
				}
				if (result instanceof UpdateResult.Conflict conflict) {
					return handleExisting(conflict.current(), budget);
				}
				if (result instanceof UpdateResult.Missing) {
					return acquire(next.phase(), budget);
				}
				return storeUnavailable(((UpdateResult.Unavailable) result).detail());
			});
	}

	// A request may run again under its key if its non-idempotent stage did not run.
	private boolean isRerunAllowed(Outcome outcome) {
		if (outcome instanceof Outcome.NotRun) {
			return true;
		}
		return outcome instanceof Outcome.Failed failed && this.pipeline.stages()
			.stream()
			.filter((stage) -> !stage.idempotent())
			.map(StageDefinition::name)
			.noneMatch(failed.stagesRun()::contains);
	}

	private Optional<AgentConnection> findConnection(String endpointName) {
		Endpoint endpoint = this.context.configuration().get().endpoints().get(endpointName);
		return Optional.ofNullable(endpoint)
			.flatMap(this.context.connections()::find)
			.filter((connection) -> connection.agentHello().isPresent());
	}

	private static Message.Execute recordedAttempt(Claim claim, ClaimPhase.Assigned assigned) {
		RequestId request = claim.requestId();
		StageCall call = new StageCall("", StageType.SERVICE, "/", claim.workspace(), "", List.of(),
				Optional.of(claim.idempotencyKey()));
		return new Message.Execute(new AttemptId(request, assigned.stage(), assigned.attempt()),
				assigned.agentIncarnation(), false, assigned.agentMillisSeen(), 0, 0, call);
	}

	private String stageName(int stage) {
		return this.pipeline.stages().get(stage).name();
	}

	private String idempotencyKey() {
		return this.submission.idempotencyKey().orElseThrow();
	}

	private String newToken() {
		String token = String.format("%s-%016x%016x", this.context.name(), this.context.random().nextLong(),
				this.context.random().nextLong());
		this.ownTokens.add(token);
		return token;
	}

	private static Duration atLeastOneMillisecond(Duration budget) {
		return (budget.toMillis() >= 1) ? budget : Duration.ofMillis(1);
	}

	private static <T> Single<T> storeUnavailable(String detail) {
		return Single.error(new StoreException("the table service does not answer: " + detail, true));
	}

}
