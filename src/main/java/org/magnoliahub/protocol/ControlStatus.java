package org.magnoliahub.protocol;

/**
 * Outcome of a control command.
 */
public enum ControlStatus {

	/** The engine executed the command. */
	DONE,

	/** The engine refused the command or failed. */
	FAILED,

	/** The agent has already accepted a command with a higher fencing number. */
	STALE,

	/** The command was addressed to another incarnation of the agent. */
	WRONG_INCARNATION

}
