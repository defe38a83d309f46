package org.magnoliahub.protocol;

/**
 * Why an agent did not start an attempt.
 */
public enum RejectionReason {

	/** The attempt was meant for another incarnation of the agent. */
	WRONG_INCARNATION,

	/** The endpoint accepts no new work. */
	DRAINING,

	/** The agent's queue is full. */
	QUEUE_FULL,

	/** The attempt was revoked before. */
	REVOKED,

	/** The attempt was recorded too long ago. */
	STALE,

	/** The time left is not enough to start. */
	DEADLINE_EXCEEDED,

	/** The back end refused the connection, so nothing ran. */
	ENDPOINT_UNREACHABLE

}
