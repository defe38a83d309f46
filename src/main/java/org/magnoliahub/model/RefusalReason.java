package org.magnoliahub.model;

/**
 * Reasons why no stage of a request was run.
 */
public enum RefusalReason {

	/** The request is malformed or refers to something that is not declared. */
	INVALID_REQUEST,

	/** The request class requires an idempotency key and the request has none. */
	IDEMPOTENCY_KEY_REQUIRED,

	/** The idempotency key was already used with a different input. */
	IDEMPOTENCY_KEY_REUSED,

	/** The time until the deadline is too short for the stages of the request. */
	DEADLINE_TOO_SHORT,

	/** The deadline passed before any stage ran. */
	DEADLINE_EXCEEDED,

	/** The gateway or the workspace has reached its limit of requests in flight. */
	LIMIT_REACHED,

	/** The back ends cannot finish the request before its deadline. */
	OVERLOADED,

	/** No endpoint of a required pool is reachable. */
	NO_ENDPOINT,

	/** The request requires the table service, which does not respond. */
	STORE_UNAVAILABLE,

	/** Another gateway is running the same request. */
	IN_PROGRESS,

	/** The gateway is shutting down and accepts no new requests. */
	DRAINING,

	/** The caller disconnected. */
	CALLER_GONE

}
