package org.magnoliahub.model;

/**
 * Reasons why a request of which some stage may have run did not complete.
 */
public enum FailureReason {

	/** The deadline passed while a stage was running or waiting. */
	DEADLINE_EXCEEDED,

	/** The back end responded with an error. */
	ENDPOINT_ERROR,

	/** No endpoint was reachable, or the retry budget was exhausted. */
	NO_ENDPOINT,

	/** The table service did not respond when a later stage needed it. */
	STORE_UNAVAILABLE,

	/** The caller disconnected. */
	CALLER_GONE,

	/** The outcome was unknown, and an operator settled it as failed. */
	OPERATOR_DECISION

}
