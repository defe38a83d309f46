package org.magnoliahub.routing;

import java.time.Duration;

import org.magnoliahub.model.RefusalReason;

/**
 * A stage could not be assigned to an endpoint.
 */
public final class AssignmentException extends Exception {

	private static final long serialVersionUID = 1L;

	private final RefusalReason reason;

	private final Duration retryAfter;

	/**
	 * Creates the exception.
	 * @param reason why
	 * @param message what was expected and what came
	 * @param retryAfter when to come back
	 */
	public AssignmentException(RefusalReason reason, String message, Duration retryAfter) {
		super(message);
		this.reason = reason;
		this.retryAfter = retryAfter;
	}

	/**
	 * Returns why the stage was not assigned.
	 * @return the reason
	 */
	public RefusalReason reason() {
		return this.reason;
	}

	/**
	 * Returns when to come back.
	 * @return the time to wait
	 */
	public Duration retryAfter() {
		return this.retryAfter;
	}

}
