package org.magnoliahub.platform;

import org.jspecify.annotations.Nullable;

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
	 * @param cause the parser's failure, or {@code null} if there is none
	 */
	public PlatformFormatException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

	@Override
	public String getMessage() {
		String message = super.getMessage();
		return (message != null) ? message : "";
	}

}
