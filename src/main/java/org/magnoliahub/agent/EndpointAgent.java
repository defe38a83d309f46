package org.magnoliahub.agent;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.protocol.AttemptState;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.protocol.RejectionReason;
import org.magnoliahub.time.TimerService;

/**
 * Controls access to one endpoint: starts each attempt at most once, limits concurrency
 * and queues calls by priority, ensures that a revoked attempt never starts, and rejects
 * new work while draining. All methods must be called on the event loop.
 */
public final class EndpointAgent {

	private static final Logger LOGGER = System.getLogger(EndpointAgent.class.getName());

	/** Number of chunks of an attempt that may be sent before the first credit. */
	public static final int INITIAL_CREDIT_CHUNKS = 64;

	// Non-idempotent calls may run on after their deadline: aborting them at once would
	// leave their outcome unknown.
	private static final Duration NON_IDEMPOTENT_GRACE_PERIOD = Duration.ofSeconds(60);

	// Limits how long an unresponsive gateway can delay a graceful shutdown.
	private static final Duration DRAIN_ACKNOWLEDGEMENT_TIMEOUT = Duration.ofSeconds(2);

	private final long incarnation;

	private final EndpointClient client;

	private final TimerService timers;

	private final AgentLimits limits;

	private final AttemptLedger ledger;

	private final Map<AttemptId, AttemptExecution> executions = new HashMap<>();

	private final PriorityQueue<AttemptExecution> queue = new PriorityQueue<>(
			Comparator.comparingInt(AttemptExecution::priority).thenComparingLong(AttemptExecution::sequenceNumber));

	private final Set<GatewayLink> links = new HashSet<>();

	// Connections on which attempts may still arrive that were sent before the gateway
	// learned of the drain.
	private final Set<GatewayLink> unacknowledgedLinks = new HashSet<>();

	private final CompletableSubject drainCompletion = CompletableSubject.create();

	private final MeterRegistry meters;

	private int runningCount;

	private long nextSequenceNumber;

	private boolean draining;

	private boolean configuredDraining;

	private EndpointAgent(long incarnation, EndpointClient client, TimerService timers, AgentLimits limits,
			MeterRegistry meters) {
		this.incarnation = incarnation;
		this.client = client;
		this.timers = timers;
		this.limits = limits;
		this.ledger = new AttemptLedger(limits);
		this.meters = meters;
	}

	/**
	 * Creates an agent.
	 * @param incarnation number that differs between runs of the process
	 * @param client client of the back end
	 * @param timers clock and timers
	 * @param limits limits on the queue, the running calls and the ledger
	 * @param meters registry for the counters
	 * @return the agent
	 */
	public static EndpointAgent of(long incarnation, EndpointClient client, TimerService timers, AgentLimits limits,
			MeterRegistry meters) {
		return new EndpointAgent(incarnation, client, timers, limits, meters);
	}

	/**
	 * Returns the incarnation of this agent.
	 * @return number that differs between runs of the process
	 */
	public long incarnation() {
		return this.incarnation;
	}

	/**
	 * Returns whether the agent is draining because {@link #drain()} was called. The
	 * drain state in the configuration is not taken into account.
	 * @return {@code true} from the first call of {@link #drain()} on
	 */
	public boolean isDraining() {
		return this.draining;
	}

	/**
	 * Returns the current load of the agent.
	 * @return number of running and of waiting calls and the agent's monotonic time
	 */
	public Message.LoadReport load() {
		return new Message.LoadReport(this.runningCount, this.queue.size(), this.timers.milliTime());
	}

	/**
	 * Adds a connection.
	 * @param link the connection to a gateway
	 */
	public void addConnection(GatewayLink link) {
		this.links.add(link);
	}

	/**
	 * Removes a connection. Attempts without another connection that listens to them are
	 * cancelled, since nobody can receive their results, except non-idempotent attempts
	 * that are running.
	 * @param link the closed connection
	 */
	public void removeConnection(GatewayLink link) {
		this.links.remove(link);
		handleDrainAcknowledgement(link);
		for (AttemptExecution execution : List.copyOf(this.executions.values())) {
			if (execution.removeListener(link) && !execution.hasListeners()) {
				handleLastListenerRemoved(execution);
			}
		}
	}

	/**
	 * Starts draining: new and waiting attempts are rejected, running ones finish.
	 * Attempts in transit to this agent still get a response, until their gateways have
	 * acknowledged the drain.
	 * @return completes when no call is running and every connected gateway has
	 * acknowledged the drain or the wait for it has timed out
	 */
	public Completable drain() {
		if (!this.draining) {
			this.draining = true;
			this.unacknowledgedLinks.addAll(this.links);
			this.links.forEach((link) -> link.send(new Message.Draining(this.incarnation)));
			this.timers.after(DRAIN_ACKNOWLEDGEMENT_TIMEOUT).subscribe(this::stopWaitingForAcknowledgements);
			while (!this.queue.isEmpty()) {
				reject(this.queue.peek(), RejectionReason.DRAINING);
			}
			completeDrainIfIdle();
		}
		return this.drainCompletion;
	}

	private void handleDrainAcknowledgement(GatewayLink link) {
		if (this.unacknowledgedLinks.remove(link)) {
			completeDrainIfIdle();
		}
	}

	private void stopWaitingForAcknowledgements() {
		if (!this.unacknowledgedLinks.isEmpty()) {
			LOGGER.log(Level.WARNING, "drain not acknowledged gateways={0}", this.unacknowledgedLinks.size());
			this.unacknowledgedLinks.clear();
			completeDrainIfIdle();
		}
	}

	/**
	 * Applies the drain state that the configuration sets for this endpoint. Unlike
	 * {@link #drain()} it can be reverted. Gateways read it from the configuration as
	 * well; attempts of gateways that have not received that version yet are rejected.
	 * @param rejectNewWork whether new attempts are rejected until this is set back
	 */
	public void setConfiguredDraining(boolean rejectNewWork) {
		this.configuredDraining = rejectNewWork;
		while (this.configuredDraining && !this.queue.isEmpty()) {
			reject(this.queue.peek(), RejectionReason.DRAINING);
		}
	}

	/**
	 * Handles a message from a gateway: a message about an attempt or the acknowledgement
	 * of a drain. Messages of other types are ignored.
	 * @param link the connection on which the message arrived
	 * @param message the message
	 */
	public void receive(GatewayLink link, Message message) {
		this.ledger.evict(this.timers.milliTime());
		if (message instanceof Message.Execute execute) {
			handleExecute(link, execute);
		}
		else if (message instanceof Message.Cancel cancel) {
			handleCancel(link, cancel.attempt());
		}
		else if (message instanceof Message.Revoke revoke) {
			handleRevoke(link, revoke);
		}
		else if (message instanceof Message.Credit credit) {
			handleCredit(credit);
		}
		else if (message instanceof Message.Draining notice && notice.incarnation() == this.incarnation) {
			handleDrainAcknowledgement(link);
		}
	}

	private void handleExecute(GatewayLink link, Message.Execute execute) {
		AttemptExecution existing = this.executions.get(execute.attempt());
		if (existing != null) {
			counter("duplicate").increment();
			existing.addListener(link);
			return;
		}
		AttemptState recordedState = this.ledger.state(execute.attempt()).orElse(null);
		if (recordedState != null) {
			counter("duplicate").increment();
			respondFromLedger(link, execute.attempt(), recordedState);
			return;
		}
		RejectionReason reason = findRejectionReason(execute);
		if (reason != null) {
			if (!execute.idempotent() && execute.targetIncarnation() == this.incarnation) {
				this.ledger.record(execute.attempt(), AttemptState.NEVER_STARTED, this.timers.milliTime());
			}
			counter("rejected").increment();
			link.send(new Message.Rejected(execute.attempt(), this.incarnation, reason));
			return;
		}
		AttemptExecution execution = new AttemptExecution(this, execute, this.nextSequenceNumber++, this.timers);
		execution.addListener(link);
		this.executions.put(execute.attempt(), execution);
		this.queue.add(execution);
		execution.startWaitTimeout(() -> reject(execution, RejectionReason.DEADLINE_EXCEEDED));
		startQueued();
	}

	private @Nullable RejectionReason findRejectionReason(Message.Execute execute) {
		if (execute.targetIncarnation() != this.incarnation) {
			return RejectionReason.WRONG_INCARNATION;
		}
		if (this.draining || this.configuredDraining) {
			return RejectionReason.DRAINING;
		}
		if (execute.budgetMillis() <= 0) {
			return RejectionReason.DEADLINE_EXCEEDED;
		}
		if (!execute.idempotent()) {
			if (!this.ledger.hasCapacity()) {
				return RejectionReason.QUEUE_FULL;
			}
			long age = this.timers.milliTime() - execute.agentMillisSeen();
			if (age < 0 || age > this.limits.maximumAge().toMillis()
					|| this.ledger.isCoveredByRefusalWatermark(execute.agentMillisSeen())) {
				return RejectionReason.STALE;
			}
		}
		if (this.runningCount >= this.limits.maximumRunning() && this.queue.size() >= this.limits.maximumWaiting()) {
			return RejectionReason.QUEUE_FULL;
		}
		return null;
	}

	private void respondFromLedger(GatewayLink link, AttemptId attempt, AttemptState recordedState) {
		switch (recordedState) {
			case COMPLETED ->
				link.send(new Message.Completed(attempt, this.incarnation, 0, this.ledger.output(attempt), load()));
			case FAILED ->
				link.send(new Message.Failed(attempt, this.incarnation, "the attempt failed before", load()));
			default -> link.send(new Message.Rejected(attempt, this.incarnation, RejectionReason.REVOKED));
		}
	}

	private void handleCancel(GatewayLink link, AttemptId attempt) {
		AttemptExecution execution = this.executions.get(attempt);
		if (execution != null && execution.removeListener(link) && !execution.hasListeners()) {
			handleLastListenerRemoved(execution);
		}
	}

	private void handleLastListenerRemoved(AttemptExecution execution) {
		if (!execution.isRunning()) {
			this.queue.remove(execution);
			endExecution(execution, AttemptState.NEVER_STARTED);
		}
		else if (execution.isIdempotent()) {
			counter("cancelled").increment();
			endExecution(execution, AttemptState.FAILED);
		}
		completeDrainIfIdle();
	}

	private void handleRevoke(GatewayLink link, Message.Revoke revoke) {
		AttemptId attempt = revoke.attempt();
		if (revoke.targetIncarnation() != this.incarnation) {
			sendRevokeResult(link, attempt, AttemptState.UNKNOWN_INCARNATION);
			return;
		}
		AttemptExecution execution = this.executions.get(attempt);
		if (execution != null && execution.isRunning()) {
			execution.addListener(link);
			sendRevokeResult(link, attempt, AttemptState.RUNNING);
			return;
		}
		if (execution != null) {
			reject(execution, RejectionReason.REVOKED);
			sendRevokeResult(link, attempt, AttemptState.NEVER_STARTED);
			return;
		}
		AttemptState recordedState = this.ledger.state(attempt).orElse(null);
		if (recordedState != null) {
			sendRevokeResult(link, attempt, recordedState);
			return;
		}
		long age = this.timers.milliTime() - revoke.agentMillisSeen();
		if (age > this.limits.retention().toMillis()) {
			sendRevokeResult(link, attempt, AttemptState.EXPIRED);
			return;
		}
		this.ledger.record(attempt, AttemptState.NEVER_STARTED, this.timers.milliTime());
		sendRevokeResult(link, attempt, AttemptState.NEVER_STARTED);
	}

	private void sendRevokeResult(GatewayLink link, AttemptId attempt, AttemptState state) {
		link.send(new Message.RevokeResult(attempt, this.incarnation, state, this.ledger.output(attempt)));
	}

	private void handleCredit(Message.Credit credit) {
		AttemptExecution execution = this.executions.get(credit.attempt());
		if (execution != null) {
			execution.addCredit(credit.chunks());
		}
	}

	private void reject(AttemptExecution execution, RejectionReason reason) {
		if (!this.queue.remove(execution)) {
			return;
		}
		counter("rejected").increment();
		endExecution(execution, AttemptState.NEVER_STARTED);
		execution.broadcast(new Message.Rejected(execution.attemptId(), this.incarnation, reason));
		completeDrainIfIdle();
	}

	private void startQueued() {
		while (this.runningCount < this.limits.maximumRunning() && !this.queue.isEmpty()) {
			AttemptExecution execution = this.queue.remove();
			this.runningCount++;
			if (!execution.isIdempotent()) {
				this.ledger.record(execution.attemptId(), AttemptState.RUNNING, this.timers.milliTime());
			}
			counter("started").increment();
			Duration gracePeriod = execution.isIdempotent() ? Duration.ZERO : NON_IDEMPOTENT_GRACE_PERIOD;
			execution.run(this.client, gracePeriod, this.limits.maximumResultLength());
		}
	}

	void handleCompleted(AttemptExecution execution, StageOutput output, int chunks) {
		endExecution(execution, AttemptState.COMPLETED);
		if (!execution.isIdempotent()) {
			this.ledger.recordCompleted(execution.attemptId(), output, this.timers.milliTime());
		}
		execution.broadcast(new Message.Completed(execution.attemptId(), this.incarnation, chunks, output, load()));
		completeDrainIfIdle();
	}

	void handleFailed(AttemptExecution execution, String detail, boolean effectPossible) {
		endExecution(execution, effectPossible ? AttemptState.FAILED : AttemptState.NEVER_STARTED);
		execution.broadcast(effectPossible ? new Message.Failed(execution.attemptId(), this.incarnation, detail, load())
				: new Message.Rejected(execution.attemptId(), this.incarnation, RejectionReason.ENDPOINT_UNREACHABLE));
		completeDrainIfIdle();
	}

	// Fails the attempt for this gateway at once. A result with a missing chunk is
	// unusable, and the gateway would otherwise wait for the chunk until the deadline.
	void handleChunkRefused(AttemptExecution execution, GatewayLink link) {
		counter("chunk_refused").increment();
		link.send(new Message.Failed(execution.attemptId(), this.incarnation,
				"a part of the result could not be sent: too much waits to be written to the gateway", load()));
		if (execution.removeListener(link) && !execution.hasListeners()) {
			handleLastListenerRemoved(execution);
		}
	}

	private void endExecution(AttemptExecution execution, AttemptState state) {
		this.executions.remove(execution.attemptId());
		if (!execution.isIdempotent()) {
			this.ledger.record(execution.attemptId(), state, this.timers.milliTime());
		}
		boolean wasRunning = execution.isRunning();
		execution.dispose();
		if (wasRunning) {
			this.runningCount--;
			startQueued();
		}
	}

	// Must be called after the last message of an attempt was sent: the process may close
	// its connections as soon as the drain completes.
	private void completeDrainIfIdle() {
		if (this.draining && this.runningCount == 0 && this.unacknowledgedLinks.isEmpty()) {
			this.drainCompletion.onComplete();
		}
	}

	private Counter counter(String event) {
		return this.meters.counter("magnoliahub.agent.attempts", "event", event);
	}

}
