package org.magnoliahub.transport;

/**
 * A frame that does not hold a message.
 */
final class MalformedFrameException extends Exception {

	private static final long serialVersionUID = 1L;

	MalformedFrameException(String message) {
		super(message);
	}

}
