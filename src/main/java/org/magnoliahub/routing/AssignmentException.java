package org.magnoliahub.routing;

import java.time.Duration;

import org.magnoliahub.model.RefusalReason;

/**
 * Signals that a stage cannot be assigned to an endpoint.
 */
public final class AssignmentException extends Exception {

	private static final long serialVersionUID = 1L;

	private final RefusalReason reason;

	private final Duration retryAfter;

	/**
	 * Creates the exception.
	 * @param reason the reason for the refusal
	 * @param message description of what was expected and what was found
	 * @param retryAfter time after which the caller may retry
	 */
	public AssignmentException(RefusalReason reason, String message, Duration retryAfter) {
		super(message);
		this.reason = reason;
		this.retryAfter = retryAfter;
	}

	/**
	 * Returns the reason for the refusal.
	 * @return the reason
	 */
	public RefusalReason reason() {
		return this.reason;
	}

	/**
	 * Returns the time after which the caller may retry.
	 * @return the time to wait
	 */
	public Duration retryAfter() {
		return this.retryAfter;
	}

}
