package org.magnoliahub.server;

/**
 * A caller's request that cannot be understood.
 */
final class InvalidRequestException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what was expected and what came
	 */
	InvalidRequestException(String message) {
		super(message);
	}

}
