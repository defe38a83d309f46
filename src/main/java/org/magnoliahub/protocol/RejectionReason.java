package org.magnoliahub.protocol;

/**
 * Reason why an agent did not start an attempt.
 */
public enum RejectionReason {

	/** The attempt was addressed to another incarnation of the agent. */
	WRONG_INCARNATION,

	/** The endpoint is draining and accepts no new work. */
	DRAINING,

	/** The agent's queue or its attempt ledger is full. */
	QUEUE_FULL,

	/** The attempt was revoked or rejected earlier. */
	REVOKED,

	/**
	 * The agent time recorded with the attempt lies in the future or so far back that the
	 * attempt may have been revoked.
	 */
	STALE,

	/** No time was left, or the deadline passed before the attempt started. */
	DEADLINE_EXCEEDED,

	/**
	 * The call could not be sent to the back end or was refused by it, so nothing ran.
	 */
	ENDPOINT_UNREACHABLE

}
