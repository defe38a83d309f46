package org.magnoliahub.serving;

/**
 * Why a piece has no result.
 */
public enum PieceFailure {

	/** The request's time was over before the piece could start. */
	LATE,

	/** An input no longer exists. */
	INPUT_GONE,

	/** The endpoint has no room for the result. */
	NO_ROOM,

	/** The endpoint failed, or its answer was lost. */
	FAILED

}
