package org.magnoliahub.configuration;

/**
 * Thrown if a stored or received JSON text cannot be decoded.
 */
public final class ConfigurationFormatException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message the expected type and the parser's message
	 * @param cause the parser's exception
	 */
	public ConfigurationFormatException(String message, Throwable cause) {
		super(message, cause);
	}

}
