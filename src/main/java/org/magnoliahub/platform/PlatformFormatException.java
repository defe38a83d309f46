package org.magnoliahub.platform;

/**
 * Thrown when something that the platform sent cannot be read.
 */
public final class PlatformFormatException extends Exception {

	/**
	 * Creates the exception.
	 * @param message what was expected and what came
	 */
	public PlatformFormatException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param message what was expected and what came
	 * @param cause the parser's failure
	 */
	public PlatformFormatException(String message, Throwable cause) {
		super(message, cause);
	}

	@Override
	public String getMessage() {
		String message = super.getMessage();
		return (message != null) ? message : "";
	}

}
