package org.magnoliahub.command;

/**
 * A command that could not be run or failed.
 */
public final class CommandException extends Exception {

	private static final long serialVersionUID = 1L;

	private final ExitCode exitCode;

	/**
	 * Creates the exception.
	 * @param exitCode the exit code
	 * @param message what was expected, what came and what to do
	 */
	public CommandException(ExitCode exitCode, String message) {
		super(message);
		this.exitCode = exitCode;
	}

	/**
	 * Returns the exit code.
	 * @return the exit code of the process
	 */
	public ExitCode exitCode() {
		return this.exitCode;
	}

}
