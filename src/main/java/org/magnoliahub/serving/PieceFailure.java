package org.magnoliahub.serving;

/**
 * Reason why a piece has no result.
 */
public enum PieceFailure {

	/** The piece could not be completed before the request expires. */
	LATE,

	/** The endpoint no longer stores an input of the piece. */
	INPUT_GONE,

	/** The endpoint has no free result capacity. */
	NO_ROOM,

	/** The endpoint failed, or its response was lost. */
	FAILED

}
