package org.magnoliahub.protocol;

/**
 * State of an attempt at an agent, as reported to a gateway that asks to revoke it.
 */
public enum AttemptState {

	/** The attempt has not started and never will. */
	NEVER_STARTED,

	/** The attempt is running. */
	RUNNING,

	/** The attempt ran and completed. */
	COMPLETED,

	/** The attempt started and did not complete. */
	FAILED,

	/** The attempt was sent to another incarnation, whose state is lost. */
	UNKNOWN_INCARNATION,

	/**
	 * The attempt is older than the retention time of the agent's ledger, so its state is
	 * unknown.
	 */
	EXPIRED

}
