package org.magnoliahub.protocol;

/**
 * How a control command ended.
 */
public enum ControlStatus {

	/** The engine carried it out. */
	DONE,

	/** The engine refused it or failed. */
	FAILED,

	/** A command with a higher fencing number was seen before. */
	STALE,

	/** The command was meant for another incarnation of the agent. */
	WRONG_INCARNATION

}
