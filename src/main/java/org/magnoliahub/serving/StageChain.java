package org.magnoliahub.serving;

import java.util.List;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

/**
 * Longest chain of dependent stages of one request, and the times that it needs. A
 * request cannot be sent to its endpoint before all stages of the chain have run in
 * sequence.
 */
public final class StageChain {

	/** Assumed time from sending the request itself to its first event. */
	private static final long FIRST_EVENT_MILLIS = 250;

	private static final int NONE = -1;

	private final List<RouteStage> stages;

	private final StageProgress progress;

	private final Function<String, @Nullable StageLimits> limits;

	/**
	 * Creates the chain of a request.
	 * @param stages stages of the route
	 * @param progress progress of the request, which tells the pieces of each stage
	 * @param limits returns the limits of a stage service, {@code null} if unknown
	 */
	public StageChain(List<RouteStage> stages, StageProgress progress, Function<String, @Nullable StageLimits> limits) {
		this.stages = stages;
		this.progress = progress;
		this.limits = limits;
	}

	/**
	 * Returns the expected queueing time of the chain if its pieces were submitted now.
	 * @param loads returns the load of a stage service
	 * @return the time in milliseconds
	 */
	public long expectedWaitMillis(Function<String, StageLoad> loads) {
		double wait = 0;
		double elapsed = 0;
		for (int stage = first(); stage != NONE; stage = next(stage)) {
			StageLoad load = loads.apply(this.stages.get(stage).service());
			double queued = Math.max(0, load.waitMillis(isLargeResult(stage)) - elapsed);
			wait += queued;
			elapsed += queued + fullBatchMillis(stage);
		}
		return (long) wait;
	}

	/**
	 * Returns the time from the start of the chain to the first event of the response,
	 * with full batches and without queueing.
	 * @return the time in milliseconds
	 */
	public long fullBatchesMillis() {
		double millis = FIRST_EVENT_MILLIS;
		for (int stage = first(); stage != NONE; stage = next(stage)) {
			millis += fullBatchMillis(stage);
		}
		return (long) millis;
	}

	/**
	 * Returns the execution time of the chain if each batch has only the pieces of this
	 * request.
	 * @return the time in milliseconds to the end of the last stage
	 */
	public long minimumMillis() {
		double millis = 0;
		for (int stage = first(); stage != NONE; stage = next(stage)) {
			StageLimits stageLimits = stageLimits(stage);
			millis += (stageLimits != null) ? stageLimits
				.expectedMillis(Math.min(stageLimits.maximumBatchSize(), this.progress.pieceCount(stage))) : 0;
		}
		return (long) millis;
	}

	/**
	 * Returns the time from the start of a stage to the first event of the response, with
	 * full batches and without queueing.
	 * @param stage index of the stage
	 * @return the time in milliseconds
	 */
	public long remainingMillis(int stage) {
		double millis = FIRST_EVENT_MILLIS;
		for (int next = stage; next != NONE; next = next(next)) {
			millis += fullBatchMillis(next);
		}
		return (long) millis;
	}

	/**
	 * Returns whether the results that a stage uses are large where they are stored.
	 * @param stage index of the stage
	 * @return whether an endpoint that stores them can run few batches meanwhile
	 */
	public boolean hasLargeInputs(int stage) {
		return this.stages.get(stage).inputStages().stream().anyMatch(this::isLargeResult);
	}

	private int first() {
		int first = NONE;
		for (int stage = 0; stage < this.stages.size(); stage++) {
			if (this.progress.pieceCount(stage) > 0 && isDeeper(stage, first)) {
				first = stage;
			}
		}
		return first;
	}

	private int next(int stage) {
		int longest = NONE;
		for (int next = 0; next < this.stages.size(); next++) {
			boolean follows = this.progress.pieceCount(next) > 0 && this.stages.get(next).inputStages().contains(stage);
			if (follows && isDeeper(next, longest)) {
				longest = next;
			}
		}
		return longest;
	}

	private boolean isDeeper(int stage, int other) {
		return other == NONE || this.progress.downstreamDepth(stage) > this.progress.downstreamDepth(other);
	}

	private @Nullable StageLimits stageLimits(int stage) {
		return this.limits.apply(this.stages.get(stage).service());
	}

	private boolean isLargeResult(int stage) {
		StageLimits stageLimits = stageLimits(stage);
		return stageLimits != null && stageLimits.isLargeResult(this.stages.get(stage).resultBytes());
	}

	private double fullBatchMillis(int stage) {
		StageLimits stageLimits = stageLimits(stage);
		return (stageLimits != null) ? stageLimits.expectedMillis(stageLimits.maximumBatchSize()) : 0;
	}

}
