package org.magnoliahub.model;

/**
 * Why a request was not run.
 */
public enum RefusalReason {

	/** The request is malformed or names something that is not declared. */
	INVALID_REQUEST,

	/** The request class needs an idempotency key and the request has none. */
	IDEMPOTENCY_KEY_REQUIRED,

	/** The idempotency key was used before with another input. */
	IDEMPOTENCY_KEY_REUSED,

	/** The time that is left is not enough for the stages. */
	DEADLINE_TOO_SHORT,

	/** The deadline passed before anything ran. */
	DEADLINE_EXCEEDED,

	/** The gateway or the workspace has reached its limit of requests in flight. */
	LIMIT_REACHED,

	/** The back ends cannot finish the request in time. */
	OVERLOADED,

	/** No endpoint of a needed pool is reachable. */
	NO_ENDPOINT,

	/** The table service does not answer and the request needs it. */
	STORE_UNAVAILABLE,

	/** The same request is being run by another gateway. */
	IN_PROGRESS,

	/** The gateway is shutting down. */
	DRAINING,

	/** The caller closed its connection. */
	CALLER_GONE

}
