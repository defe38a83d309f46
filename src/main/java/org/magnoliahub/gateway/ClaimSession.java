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
 * The claim of one submission with an idempotency key. A submission that meets an
 * unfinished claim follows it; if the claim does not change for the takeover delay, the
 * submission takes it over once, after the agent named in it has promised that the
 * earlier attempt never starts. Each change is a compare-and-set on the revision, so an
 * owner that was paused and replaced learns it before it sends anything.
 */
final class ClaimSession {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

	private static final Duration LOOKUP_TIMEOUT = Duration.ofSeconds(2);

	// For the look at the claim and its change together, since the caller may be waiting
	// past its deadline.
	private static final Duration CONCLUDE_TIMEOUT = Duration.ofMillis(500);

	private static final Duration FINISH_TIMEOUT = Duration.ofSeconds(60);

	private final GatewayContext context;

	private final RequestId request;

	private final PipelineDefinition pipeline;

	private final Submission submission;

	private final String inputHash;

	private final Set<String> ownTokens = new HashSet<>();

	private @Nullable StoredClaim held;

	private @Nullable StoredClaim followed;

	private long unchangedSinceMillis;

	private boolean takenOver;

	private boolean concluded;

	private long concludeUntilMillis;

	ClaimSession(GatewayContext context, RequestId request, PipelineDefinition pipeline, Submission submission,
			String inputHash) {
		this.context = context;
		this.request = request;
		this.pipeline = pipeline;
		this.submission = submission;
		this.inputHash = inputHash;
	}

	/**
	 * Looks the outcome of a key up.
	 * @param context the gateway
	 * @param workspace name of the workspace
	 * @param idempotencyKey the key
	 * @return the outcome, empty if there is no claim; {@link WriteHandler.Unknown} while
	 * it has not ended
	 */
	static Single<Optional<Outcome>> lookUp(GatewayContext context, String workspace, String idempotencyKey) {
		return context.claims()
			.find(workspace, idempotencyKey, LOOKUP_TIMEOUT)
			.map((found) -> found.map((stored) -> (stored.claim().phase() instanceof ClaimPhase.Finished finished)
					? finished.outcome() : new Outcome.Unknown("", "the request has not ended")));
	}

	/**
	 * Returns what can be said of a request whose claim could not be checked.
	 * @param outcome the outcome of this submission alone
	 * @return the outcome, which says what was not checked
	 */
	static Outcome unchecked(Outcome outcome) {
		if (!(outcome instanceof Outcome.NotRun refusal)) {
			return new Outcome.Unknown("", "the table service does not answer, so it is not known whether another "
					+ "submission with the same idempotency key has run");
		}
		return new Outcome.NotRun(RefusalReason.STORE_UNAVAILABLE, refusal.detail()
				+ "; this submission did not run, but the table service does not answer or has too "
				+ "many requests, so an earlier submission with the same idempotency key could not be looked up",
				refusal.retryAfter());
	}

	private Duration concludeBudget() {
		return positive(Duration.ofMillis(this.concludeUntilMillis - this.context.timers().milliTime()));
	}

	private static Outcome keyReused() {
		return new Outcome.NotRun(RefusalReason.IDEMPOTENCY_KEY_REUSED,
				"the idempotency key was used before with another input; use a new key", Duration.ZERO);
	}

	/**
	 * Returns whether this submission waits for another one.
	 * @return {@code true} while it follows a claim that it does not own
	 */
	boolean isFollowing() {
		return this.followed != null && this.held == null;
	}

	/**
	 * Acquires the claim before an idempotent first stage.
	 * @param budget time left
	 * @return the grant; {@link StoreException} if the store does not answer
	 */
	Single<ClaimCheckResult> open(Duration budget) {
		return acquire(new ClaimPhase.Open(), budget);
	}

	/**
	 * Records a non-idempotent attempt before it is sent.
	 * @param execute the attempt
	 * @param endpoint name of the endpoint
	 * @param budget time left
	 * @return the grant; {@link StoreException} if the store does not answer
	 */
	Single<ClaimCheckResult> assign(Message.Execute execute, String endpoint, Duration budget) {
		AttemptId attempt = execute.attempt();
		ClaimPhase.Assigned phase = new ClaimPhase.Assigned(attempt.stage(), endpoint, execute.targetIncarnation(),
				attempt.attempt(), execute.agentMillisSeen(), this.context.configuration().get().version());
		StoredClaim present = this.held;
		if (present == null) {
			return acquire(phase, budget).flatMap((grant) -> assignIfTakenOver(grant, phase, budget));
		}
		return update(present, present.claim().withPhase(phase), budget, this::granted);
	}

	/**
	 * Confirms an outcome of a request whose non-idempotent stage did not complete. A
	 * submission that was paused may have been replaced meanwhile, so the outcome holds
	 * only if no other submission has taken the claim over.
	 * @param outcome the outcome
	 * @return the outcome to tell the caller; {@link StoreException} if the claim cannot
	 * be checked
	 */
	Single<Outcome> conclude(Outcome outcome) {
		if (!this.context.claims().isStoreAvailable()) {
			return unavailable("it failed several times in a row");
		}
		this.concludeUntilMillis = this.context.timers().milliTime() + CONCLUDE_TIMEOUT.toMillis();
		StoredClaim present = this.held;
		if (present != null) {
			return concludeAt(present, outcome);
		}
		return this.context.claims()
			.find(this.submission.workspace(), key(), concludeBudget())
			.flatMap((found) -> found.isPresent() ? concludeAt(found.get(), outcome) : Single.just(outcome));
	}

	/**
	 * Records the outcome if this submission owns the claim.
	 * @param outcome the outcome
	 * @return completes when it is recorded or given up
	 */
	Completable finish(Outcome outcome) {
		StoredClaim present = this.held;
		if (present == null || this.concluded) {
			return Completable.complete();
		}
		Claim finished = present.claim().withPhase(new ClaimPhase.Finished(outcome));
		return this.context.claims().update(finished, present.revision(), FINISH_TIMEOUT).ignoreElement();
	}

	private Single<Outcome> concludeAt(StoredClaim stored, Outcome outcome) {
		Claim claim = stored.claim();
		if (!claim.inputHash().equals(this.inputHash)) {
			return Single.just((outcome instanceof Outcome.NotRun) ? keyReused() : outcome);
		}
		if (claim.phase() instanceof ClaimPhase.Finished finished) {
			return Single.just(isRepeatable(finished.outcome()) ? outcome : finished.outcome());
		}
		if (!this.ownTokens.contains(claim.ownerToken())) {
			return Single.just(new Outcome.Unknown("", "an earlier submission with the same key has not ended"));
		}
		Claim finished = claim.withPhase(new ClaimPhase.Finished(outcome));
		return this.context.claims().update(finished, stored.revision(), concludeBudget()).flatMap((result) -> {
			if (result instanceof UpdateResult.Updated) {
				this.concluded = true;
				return Single.just(outcome);
			}
			if (result instanceof UpdateResult.Conflict conflict) {
				return concludeAt(conflict.current(), outcome);
			}
			if (result instanceof UpdateResult.Missing) {
				return Single.just(outcome);
			}
			return unavailable(((UpdateResult.Unavailable) result).detail());
		});
	}

	private Single<ClaimCheckResult> assignIfTakenOver(ClaimCheckResult grant, ClaimPhase.Assigned phase,
			Duration budget) {
		StoredClaim present = this.held;
		boolean mustAssign = grant instanceof ClaimCheckResult.Proceed granted && granted.recovered().isEmpty()
				&& present != null && !present.claim().phase().equals(phase);
		if (!mustAssign || present == null) {
			return Single.just(grant);
		}
		return update(present, present.claim().withPhase(phase), budget, this::granted);
	}

	private Single<ClaimCheckResult> acquire(ClaimPhase phase, Duration budget) {
		if (!this.context.claims().isStoreAvailable()) {
			return Single.error(new StoreException("the table service does not answer", false));
		}
		Claim claim = new Claim(this.submission.workspace(), key(), this.inputHash, newToken(), this.request, phase);
		return this.context.claims().acquire(claim, positive(budget)).flatMap((result) -> {
			if (result instanceof AcquireResult.Acquired acquired) {
				this.held = acquired.stored();
				return Single.just(new ClaimCheckResult.Proceed(Optional.empty()));
			}
			if (result instanceof AcquireResult.Existing existing) {
				return follow(existing.stored(), budget);
			}
			return unavailable(((AcquireResult.Unavailable) result).detail());
		});
	}

	private Single<ClaimCheckResult> follow(StoredClaim stored, Duration budget) {
		this.held = null;
		Claim claim = stored.claim();
		if (!claim.inputHash().equals(this.inputHash)) {
			return Single.just(new ClaimCheckResult.EarlierOutcome(keyReused()));
		}
		if (claim.phase() instanceof ClaimPhase.Finished finished) {
			return isRepeatable(finished.outcome()) ? reopen(stored, budget)
					: Single.just(new ClaimCheckResult.EarlierOutcome(finished.outcome()));
		}
		long now = this.context.timers().milliTime();
		StoredClaim before = this.followed;
		if (before == null || before.revision() != stored.revision()) {
			this.followed = stored;
			this.unchangedSinceMillis = now;
		}
		boolean unchanged = now - this.unchangedSinceMillis >= this.context.limits().takeoverDelay().toMillis();
		if (unchanged && !this.takenOver) {
			return takeOver(stored, budget);
		}
		return poll(budget);
	}

	private Single<ClaimCheckResult> poll(Duration budget) {
		double jitter = 0.5 + this.context.random().nextDouble();
		Duration pause = Duration.ofMillis((long) (POLL_INTERVAL.toMillis() * jitter));
		return this.context.timers()
			.after(pause)
			.andThen(Single
				.defer(() -> this.context.claims().find(this.submission.workspace(), key(), positive(budget))))
			.flatMap((found) -> found.isPresent() ? follow(found.get(), budget)
					: acquire(new ClaimPhase.Open(), budget));
	}

	private Single<ClaimCheckResult> takeOver(StoredClaim stored, Duration budget) {
		if (!(stored.claim().phase() instanceof ClaimPhase.Assigned assigned)) {
			this.takenOver = true;
			return reopen(stored, budget);
		}
		Configuration inForce = this.context.configuration().get();
		boolean isRemoved = inForce.version() > assigned.configurationVersion()
				&& !inForce.endpoints().containsKey(assigned.endpoint());
		if (isRemoved) {
			return settle(stored, new Outcome.Unknown(stageName(assigned.stage()), "endpoint " + assigned.endpoint()
					+ " is no longer declared, so nobody can tell whether the call ran"), budget);
		}
		return connectionTo(assigned.endpoint()).map((connection) -> {
			this.takenOver = true;
			Message.Execute recorded = recordedAttempt(stored.claim(), assigned);
			return StageAttempt.revoke(this.context.dispatcher(), connection, recorded)
				.flatMap((result) -> afterRevocation(stored, assigned, result, budget));
		}).orElseGet(() -> poll(budget));
	}

	private Single<ClaimCheckResult> afterRevocation(StoredClaim stored, ClaimPhase.Assigned assigned,
			AttemptResult result, Duration budget) {
		if (result instanceof AttemptResult.NeverStarted) {
			return reopen(stored, budget);
		}
		if (!(result instanceof AttemptResult.Completed completed)) {
			String detail = (result instanceof AttemptResult.Failed failed) ? failed.detail()
					: ((AttemptResult.Lost) result).detail();
			Outcome unknown = new Outcome.Unknown(stageName(assigned.stage()), detail);
			return settle(stored, unknown, budget);
		}
		if (assigned.stage() == this.pipeline.stages().size() - 1) {
			return settle(stored, new Outcome.Complete(completed.output().content()), budget);
		}
		return update(stored, stored.claim().withOwner(newToken()), budget, (updated) -> {
			this.held = updated;
			return Single.just(new ClaimCheckResult.Proceed(Optional.of(completed.output())));
		});
	}

	private Single<ClaimCheckResult> settle(StoredClaim stored, Outcome outcome, Duration budget) {
		Claim finished = stored.claim().withOwner(newToken()).withPhase(new ClaimPhase.Finished(outcome));
		return update(stored, finished, budget,
				(updated) -> Single.just((ClaimCheckResult) new ClaimCheckResult.EarlierOutcome(outcome)));
	}

	private Single<ClaimCheckResult> reopen(StoredClaim stored, Duration budget) {
		Claim open = new Claim(this.submission.workspace(), key(), this.inputHash, newToken(), this.request,
				new ClaimPhase.Open());
		return update(stored, open, budget, this::granted);
	}

	private Single<ClaimCheckResult> granted(StoredClaim stored) {
		this.held = stored;
		return Single.just(new ClaimCheckResult.Proceed(Optional.empty()));
	}

	private Single<ClaimCheckResult> update(StoredClaim stored, Claim next, Duration budget,
			Function<StoredClaim, Single<ClaimCheckResult>> whenUpdated) {
		return this.context.claims().update(next, stored.revision(), positive(budget)).flatMap((result) -> {
			if (result instanceof UpdateResult.Updated updated) {
				return whenUpdated.apply(updated.stored());
			}
			if (result instanceof UpdateResult.Conflict conflict) {
				return follow(conflict.current(), budget);
			}
			if (result instanceof UpdateResult.Missing) {
				return acquire(next.phase(), budget);
			}
			return unavailable(((UpdateResult.Unavailable) result).detail());
		});
	}

	// A request may run again under its key if its non-idempotent stage did not run.
	private boolean isRepeatable(Outcome outcome) {
		if (outcome instanceof Outcome.NotRun) {
			return true;
		}
		return outcome instanceof Outcome.Failed failed && this.pipeline.stages()
			.stream()
			.filter((stage) -> !stage.idempotent())
			.map(StageDefinition::name)
			.noneMatch(failed.stagesRun()::contains);
	}

	private Optional<AgentConnection> connectionTo(String endpointName) {
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

	private String key() {
		return this.submission.idempotencyKey().orElseThrow();
	}

	private String newToken() {
		String token = String.format("%s-%016x%016x", this.context.name(), this.context.random().nextLong(),
				this.context.random().nextLong());
		this.ownTokens.add(token);
		return token;
	}

	private static Duration positive(Duration budget) {
		return (budget.toMillis() >= 1) ? budget : Duration.ofMillis(1);
	}

	private static <T> Single<T> unavailable(String detail) {
		return Single.error(new StoreException("the table service does not answer: " + detail, true));
	}

}
