package org.magnoliahub.serving;

/**
 * Kind of the requests of a route, which determines whether they can be retried.
 */
public enum CallKind {

	/** May be executed more than once. */
	IDEMPOTENT,

	/** Must be executed at most once. */
	NON_IDEMPOTENT,

	/** Responds with a stream of events; executed at most once unless resumable. */
	STREAMING

}
