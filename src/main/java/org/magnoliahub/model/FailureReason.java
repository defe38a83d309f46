package org.magnoliahub.model;

/**
 * Why a request that had started did not complete.
 */
public enum FailureReason {

	/** The deadline passed while a stage was running or waiting. */
	DEADLINE_EXCEEDED,

	/** The back end answered with an error. */
	ENDPOINT_ERROR,

	/** No endpoint could be reached, or the retry budget was spent. */
	NO_ENDPOINT,

	/** The table service did not answer when a later stage needed it. */
	STORE_UNAVAILABLE,

	/** The caller closed its connection. */
	CALLER_GONE,

	/** The outcome was unknown, and an operator declared the request failed. */
	OPERATOR_DECISION

}
