package org.magnoliahub.command;

/**
 * Exit codes of the binary. The check of a configuration has meanings of its own for
 * {@code 1} to {@code 3}.
 */
public enum ExitCode {

	/** The command did what was asked. */
	SUCCESS(0),

	/** The command ran and failed. */
	FAILURE(1),

	/** The arguments, settings or declarations are invalid; nothing was done. */
	USAGE(2),

	/** The change conflicts with a newer version; nothing was changed. */
	CONFLICT(3),

	/** A service that the command needs does not answer. */
	UNAVAILABLE(4),

	/** What was asked for is not known. */
	UNKNOWN(5),

	/** A check of a configuration found warnings and no errors. */
	WARNINGS(1),

	/** A check of a configuration found errors. */
	ERRORS(2),

	/** The configuration to check cannot be read. */
	UNREADABLE(3);

	private final int value;

	ExitCode(int value) {
		this.value = value;
	}

	/**
	 * Returns the number handed to the operating system.
	 * @return the exit code
	 */
	public int value() {
		return this.value;
	}

}
