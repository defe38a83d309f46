package org.magnoliahub.serving;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.placement.AllowedZones;

/**
 * Pieces of one stage of one request, which the gateway that handles the request submits
 * to the owner of the stage service's queue.
 *
 * @param origin submitter of the job
 * @param jobId id of the job, unique at its origin
 * @param requestId id that the caller assigned to the request
 * @param stage index of the stage in its route
 * @param pieces indexes of the pieces
 * @param pieceKey key of the pieces, {@code null} if the stage has inputs
 * @param inputs handles of the results that are inputs of each piece
 * @param largeInputs whether the inputs use a large share of the result capacity where
 * they are stored
 * @param resultBytes approximate size of one result, in bytes
 * @param startDeadline monotonic time by which the pieces have to start for the request
 * to meet its latency objective, in milliseconds
 * @param expiresAt monotonic time at which the request expires, in milliseconds
 * @param priority priority of the route, zero is the most urgent
 * @param zonePreference zone that holds the inputs or in which the results are needed
 * @param allowedZones zones in which the pieces may run
 */
public record StageJob(JobOrigin origin, long jobId, String requestId, int stage, List<Integer> pieces,
		@Nullable String pieceKey, List<String> inputs, boolean largeInputs, long resultBytes, long startDeadline,
		long expiresAt, int priority, ZonePreference zonePreference, AllowedZones allowedZones) {

	/**
	 * Creates a job with immutable copies of the lists.
	 */
	public StageJob {
		pieces = List.copyOf(pieces);
		inputs = List.copyOf(inputs);
	}

	/**
	 * Creates a job whose pieces may run in all zones.
	 */
	public StageJob(JobOrigin origin, long jobId, String requestId, int stage, List<Integer> pieces,
			@Nullable String pieceKey, List<String> inputs, boolean largeInputs, long resultBytes, long startDeadline,
			long expiresAt, int priority, ZonePreference zonePreference) {
		this(origin, jobId, requestId, stage, pieces, pieceKey, inputs, largeInputs, resultBytes, startDeadline,
				expiresAt, priority, zonePreference, AllowedZones.ALL);
	}

	/**
	 * Returns this job as submitted by a gateway.
	 * @param submitter the submitter
	 * @param id id of the job, unique at the submitter
	 * @return the job
	 */
	public StageJob submittedBy(JobOrigin submitter, long id) {
		return new StageJob(submitter, id, this.requestId, this.stage, this.pieces, this.pieceKey, this.inputs,
				this.largeInputs, this.resultBytes, this.startDeadline, this.expiresAt, this.priority,
				this.zonePreference, this.allowedZones);
	}

	/**
	 * Returns this job with other pieces of its stage.
	 * @param newPieces indexes of the pieces
	 * @return the job
	 */
	public StageJob withPieces(List<Integer> newPieces) {
		return new StageJob(this.origin, this.jobId, this.requestId, this.stage, newPieces, this.pieceKey, this.inputs,
				this.largeInputs, this.resultBytes, this.startDeadline, this.expiresAt, this.priority,
				this.zonePreference, this.allowedZones);
	}

}
