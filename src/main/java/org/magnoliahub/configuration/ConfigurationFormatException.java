package org.magnoliahub.configuration;

/**
 * A stored or received text is not a valid part of a configuration.
 */
public final class ConfigurationFormatException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what was expected and what came
	 * @param cause the parser's fault
	 */
	public ConfigurationFormatException(String message, Throwable cause) {
		super(message, cause);
	}

}
