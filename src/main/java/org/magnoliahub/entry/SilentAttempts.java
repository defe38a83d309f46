package org.magnoliahub.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.reactivex.rxjava3.disposables.Disposable;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the silent attempts of a request while the request is sent to another endpoint,
 * so that a silent one can continue if the other one refuses, fails, or the stages fail
 * that the other one needs.
 * <p>
 * Before the first event of a stream, silent attempts are kept until one attempt
 * responds. Once a stream has begun, two endpoints must not work on it for long: after
 * the permitted overlap one of the two attempts is cancelled. It is the silent one if its
 * endpoint shows no sign of life, and the other one otherwise, because a live endpoint
 * that preempted the stream continues it. The silent attempt of a plain request is
 * cancelled after the same time: it may be receiving a response without an end.
 */
final class SilentAttempts {

	/**
	 * Steps of the overlap. The time counts in steps, so that a pause of the process does
	 * not use up the time in which the other endpoint may respond.
	 */
	private static final Duration OVERLAP_STEP = Duration.ofMillis(50);

	/** Overlap in steps. */
	private static final int OVERLAP_STEPS = 5;

	/**
	 * Overlap after which no further steps are counted. A server that works on a stream
	 * 400 ms after another one has continued it breaks a rule of the platform.
	 */
	private static final long MAXIMUM_OVERLAP_MILLIS = 350;

	/**
	 * Delay of a step that shows a pause of the process. Responses that arrived in the
	 * pause are read before the next step.
	 */
	private static final long MAXIMUM_STEP_DELAY_MILLIS = 30;

	private final EntryContext context;

	private final RequestFlow flow;

	private final List<Attempt> kept = new ArrayList<>();

	private boolean stagesRepeated;

	private boolean overlapExtended;

	private @Nullable LivenessProbe probe;

	private Disposable timer = Disposable.disposed();

	/**
	 * Creates an object that keeps no attempt.
	 * @param context the services of the gateway
	 * @param flow the request, which is resumed with a kept attempt that responds
	 */
	SilentAttempts(EntryContext context, RequestFlow flow) {
		this.context = context;
		this.flow = flow;
	}

	/**
	 * Keeps an attempt until it is taken or released. Once the stream has begun, attempts
	 * that were kept before are cancelled.
	 * @param silent the attempt
	 * @param repeatsStages whether the stages run again before the request is sent to
	 * another endpoint
	 */
	void keep(Attempt silent, boolean repeatsStages) {
		this.stagesRepeated = repeatsStages;
		if (hasStreamBegun()) {
			release();
		}
		this.kept.add(silent);
	}

	private boolean hasStreamBegun() {
		return this.flow.streamPosition() != null;
	}

	/**
	 * Returns whether the stages run again, or have, for the attempt that replaces the
	 * latest kept one.
	 * @return whether the kept attempt needs none of their results
	 */
	boolean areStagesRepeated() {
		return this.stagesRepeated;
	}

	/**
	 * Called when the request is sent to another endpoint. Once the stream has begun, and
	 * for plain requests, one of the two attempts is cancelled after the permitted
	 * overlap.
	 */
	void limitOverlap() {
		if (this.kept.isEmpty() || (this.flow.isStreaming() && !hasStreamBegun())) {
			return;
		}
		stopTimers();
		this.overlapExtended = false;
		if (hasStreamBegun()) {
			// Asked now, because an earlier sign of life may be older than the end of the
			// endpoint.
			this.probe = LivenessProbe.send(this.context, this.kept.get(0).endpoint());
		}
		scheduleStep(OVERLAP_STEPS, this.context.now());
	}

	private void scheduleStep(int remainingSteps, long startedMillis) {
		long scheduledMillis = this.context.now();
		this.timer = this.context.timers()
			.schedule(OVERLAP_STEP, () -> this.flow.faultBarrier()
				.run(() -> onStep(remainingSteps - 1, startedMillis, scheduledMillis)));
	}

	private void onStep(int remainingSteps, long startedMillis, long scheduledMillis) {
		long now = this.context.now();
		boolean delayed = now - scheduledMillis > OVERLAP_STEP.toMillis() + MAXIMUM_STEP_DELAY_MILLIS;
		boolean due = remainingSteps <= 0 || now - startedMillis >= MAXIMUM_OVERLAP_MILLIS;
		// Only one step follows a pause, because steps of a busy process are always late.
		boolean readsFirst = due && delayed && !this.overlapExtended;
		if (!due || readsFirst) {
			this.overlapExtended |= readsFirst;
			scheduleStep(remainingSteps, startedMillis);
			return;
		}
		endOverlap(now);
	}

	private void endOverlap(long now) {
		Attempt other = this.flow.currentAttempt();
		if (this.kept.isEmpty() || other == null) {
			return;
		}
		Attempt silent = this.kept.get(0);
		if (other.isAnswerBeginning() || !isAlive(silent, now)) {
			release();
			return;
		}
		forget(silent);
		this.flow.resume(silent);
	}

	private boolean isAlive(Attempt silent, long now) {
		if (!hasStreamBegun() || silent.endpoint().isDraining()) {
			return false;
		}
		// An endpoint that requested a pause is not asked.
		return silent.endpoint().isPauseRequested(now) || (this.probe != null && this.probe.isAnswered());
	}

	/**
	 * Called when an attempt receives an event of a stream, or the head or the end of
	 * another response. If it is kept, it is resumed, or cancelled if the response is not
	 * usable or another endpoint has begun such a response before.
	 * @param responding the attempt
	 * @param usable whether the response is a signed success
	 */
	void onResponding(Attempt responding, boolean usable) {
		if (!forget(responding)) {
			return;
		}
		Attempt other = this.flow.currentAttempt();
		boolean tooLate = !responding.isEventStream() && other != null && other.isAnswerBeginning();
		if (!usable || tooLate) {
			responding.cancel();
			return;
		}
		this.flow.resume(responding);
	}

	/**
	 * Called when an attempt has failed.
	 * @param failed the attempt
	 * @return whether it was kept, so that its failure does not affect the request
	 */
	boolean forget(Attempt failed) {
		boolean known = this.kept.remove(failed);
		if (this.kept.isEmpty()) {
			stopTimers();
		}
		return known;
	}

	/**
	 * Hands over the first kept attempt, which is still in progress.
	 * @return the attempt, or {@code null} if none is kept
	 */
	@Nullable Attempt take() {
		Attempt first = this.kept.isEmpty() ? null : this.kept.get(0);
		if (first != null) {
			forget(first);
		}
		return first;
	}

	/**
	 * Cancels the kept attempts.
	 */
	void release() {
		stopTimers();
		List<Attempt> released = List.copyOf(this.kept);
		this.kept.clear();
		released.forEach(Attempt::cancel);
	}

	private void stopTimers() {
		this.timer.dispose();
		if (this.probe != null) {
			this.probe.cancel();
			this.probe = null;
		}
	}

}
