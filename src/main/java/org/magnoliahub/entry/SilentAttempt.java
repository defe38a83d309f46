package org.magnoliahub.entry;

import java.time.Duration;

import io.reactivex.rxjava3.disposables.Disposable;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.time.Timers;

/**
 * Keeps the silent attempt of a request until another endpoint has taken the request, so
 * that the silent one can continue if the other one refuses or the stages fail that the
 * other one needs.
 */
final class SilentAttempt {

	/**
	 * Maximum time for which two endpoints may work on one request. A server that works
	 * on a stream 400 ms after another one has continued it breaks a rule of the
	 * platform.
	 */
	private static final long MAXIMUM_OVERLAP_MILLIS = 250;

	private final Timers timers;

	private final RequestFlow flow;

	private @Nullable Attempt attempt;

	private boolean stagesRepeated;

	private Disposable timer = Disposable.disposed();

	/**
	 * Creates an object that keeps no attempt.
	 * @param timers limits the time for which an attempt is kept
	 * @param flow the request, which is resumed with a kept attempt that responds
	 */
	SilentAttempt(Timers timers, RequestFlow flow) {
		this.timers = timers;
		this.flow = flow;
	}

	/**
	 * Keeps an attempt until it is taken or released. An attempt that was kept before is
	 * cancelled.
	 * @param silent the attempt
	 * @param repeatsStages whether the stages run again before the request is sent to
	 * another endpoint
	 */
	void keep(Attempt silent, boolean repeatsStages) {
		release();
		this.attempt = silent;
		this.stagesRepeated = repeatsStages;
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
	 * Called when the request is sent to another endpoint. A kept attempt is cancelled
	 * after the permitted overlap.
	 */
	void limitOverlap() {
		this.timer.dispose();
		this.timer = this.timers.schedule(Duration.ofMillis(MAXIMUM_OVERLAP_MILLIS), this::release);
	}

	/**
	 * Called when an attempt receives a part of its response. Resumes it if it is kept
	 * and the response is usable, and cancels it if it is kept and is not.
	 * @param responding the attempt
	 * @param usable whether the response is a signed success
	 */
	void onResponding(Attempt responding, boolean usable) {
		if (this.attempt != responding) {
			return;
		}
		if (!usable) {
			release();
			return;
		}
		take();
		this.flow.resume(responding);
	}

	/**
	 * Called when an attempt has failed.
	 * @param failed the attempt
	 * @return whether it was kept, so that its failure does not affect the request
	 */
	boolean forget(Attempt failed) {
		if (this.attempt != failed) {
			return false;
		}
		take();
		return true;
	}

	/**
	 * Hands over the kept attempt, which is still in progress.
	 * @return the attempt, or {@code null} if none is kept
	 */
	@Nullable Attempt take() {
		Attempt kept = this.attempt;
		this.attempt = null;
		this.timer.dispose();
		return kept;
	}

	/**
	 * Cancels the kept attempt, if there is one.
	 */
	void release() {
		Attempt kept = take();
		if (kept != null) {
			kept.cancel();
		}
	}

}
