package org.magnoliahub.simulation;

import java.util.Optional;

import io.reactivex.rxjava3.disposables.Disposable;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.gateway.ResponseEvent;
import org.magnoliahub.gateway.Submission;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.RequestId;

/**
 * A caller's view of one submission.
 */
final class SimulatedCall {

	private final Submission submission;

	private final SimulatedGateway gateway;

	private final StringBuilder parts = new StringBuilder();

	private Disposable subscription = Disposable.disposed();

	private @Nullable RequestId id;

	private @Nullable Outcome outcome;

	private int terminalEvents;

	private long outcomeMillis;

	private boolean hungUp;

	private long startedMillis;

	SimulatedCall(Submission submission, SimulatedGateway gateway) {
		this.submission = submission;
		this.gateway = gateway;
	}

	void start() {
		this.startedMillis = this.gateway.timer().milliTime();
		this.subscription = this.gateway.coordinator().submit(this.submission).subscribe(this::receive);
	}

	void hangUp() {
		this.hungUp = true;
		this.subscription.dispose();
	}

	/**
	 * Returns whether an outcome must have arrived once all deadlines have passed.
	 * @return {@code false} if the caller hung up or the gateway died
	 */
	boolean mustHaveOutcome() {
		return !this.hungUp && !this.gateway.timer().isDead();
	}

	Submission submission() {
		return this.submission;
	}

	SimulatedGateway gateway() {
		return this.gateway;
	}

	Optional<Outcome> outcome() {
		return Optional.ofNullable(this.outcome);
	}

	Optional<RequestId> id() {
		return Optional.ofNullable(this.id);
	}

	long startedMillis() {
		return this.startedMillis;
	}

	long outcomeMillis() {
		return this.outcomeMillis;
	}

	String parts() {
		return this.parts.toString();
	}

	int terminalEvents() {
		return this.terminalEvents;
	}

	private void receive(ResponseEvent event) {
		if (this.gateway.timer().isDead()) {
			return;
		}
		if (event instanceof ResponseEvent.Chunk part) {
			this.parts.append(part.content());
		}
		else if (event instanceof ResponseEvent.Restarted) {
			this.parts.setLength(0);
		}
		else if (event instanceof ResponseEvent.Finished finished) {
			this.id = finished.request();
			this.outcome = finished.outcome();
			this.outcomeMillis = this.gateway.timer().milliTime();
			this.terminalEvents++;
		}
	}

	@Override
	public String toString() {
		return this.submission.requestClass() + "/" + this.submission.idempotencyKey().orElse("") + " -> "
				+ this.outcome;
	}

}
