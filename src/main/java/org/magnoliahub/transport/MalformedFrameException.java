package org.magnoliahub.transport;

/**
 * Thrown when a frame does not contain a valid message.
 */
final class MalformedFrameException extends Exception {

	private static final long serialVersionUID = 1L;

	MalformedFrameException(String message) {
		super(message);
	}

}
