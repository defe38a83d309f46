package org.magnoliahub.protocol;

/**
 * What an agent knows of an attempt that a gateway asks to revoke.
 */
public enum AttemptState {

	/** It did not start and never will. */
	NEVER_STARTED,

	/** It is running. */
	RUNNING,

	/** It ran to its end. */
	COMPLETED,

	/** It started and did not complete. */
	FAILED,

	/** It was meant for another incarnation, whose state is lost. */
	UNKNOWN_INCARNATION,

	/** The agent no longer keeps entries of that age. */
	EXPIRED

}
