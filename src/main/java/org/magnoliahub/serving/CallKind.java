package org.magnoliahub.serving;

/**
 * What a route promises about repeating its requests.
 */
public enum CallKind {

	/** May run more than once. */
	IDEMPOTENT,

	/** Runs at most once. */
	NON_IDEMPOTENT,

	/** Answers with a stream of events; runs at most once unless it can be resumed. */
	STREAMING

}
