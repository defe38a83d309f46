package org.magnoliahub.serving;

import org.jspecify.annotations.Nullable;

/**
 * Result or failure of one piece.
 *
 * @param handle handle of the stored result, or {@code null} if there is none
 * @param availabilityZone zone of the endpoint that stores the result
 * @param failure reason why there is no result, or {@code null}
 * @param times durations of the processing steps
 */
public record PieceResult(@Nullable String handle, String availabilityZone, @Nullable PieceFailure failure,
		PieceTimes times) {

	/**
	 * Creates a result from the response of an endpoint, without durations.
	 * @param handle handle of the stored result, or {@code null} if there is none
	 * @param availabilityZone zone of the endpoint that stores the result
	 * @param failure reason why there is no result, or {@code null}
	 */
	public PieceResult(@Nullable String handle, String availabilityZone, @Nullable PieceFailure failure) {
		this(handle, availabilityZone, failure, PieceTimes.NONE);
	}

	/**
	 * Creates a failed result.
	 * @param failure reason of the failure
	 * @return a result without a handle
	 */
	public static PieceResult failed(PieceFailure failure) {
		return new PieceResult(null, "", failure);
	}

	PieceResult withTimes(PieceTimes newTimes) {
		return new PieceResult(this.handle, this.availabilityZone, this.failure, newTimes);
	}

}
