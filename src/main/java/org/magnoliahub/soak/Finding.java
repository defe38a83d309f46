package org.magnoliahub.soak;

/**
 * A broken promise.
 *
 * @param promise which promise
 * @param detail what was seen, for people
 */
record Finding(Promise promise, String detail) {

	/**
	 * What a soak checks.
	 */
	enum Promise {

		/** What may not be repeated runs at most once. */
		AT_MOST_ONCE,

		/** What is said not to have run has not, and does not. */
		TRUTHFUL_REFUSAL,

		/** Answers are whole and belong to their request. */
		OWN_ANSWER,

		/** Streams have each event once, in order, up to the last. */
		STREAM_ORDER,

		/** Endpoints get requests as callers sent them. */
		UNCHANGED_REQUEST,

		/** A request goes to no more endpoints than its route allows. */
		ATTEMPTS,

		/** Repeats of all gateways stay in the budget. */
		REPEAT_BUDGET,

		/** A draining endpoint gets nothing more in time. */
		DRAINING,

		/**
		 * Endpoints of an evacuated zone get nothing more in time, and nothing is lost.
		 */
		EVACUATION,

		/** An endpoint that said that it leaves gets nothing more in time. */
		LEAVING,

		/** An endpoint that asked for a pause gets nothing until its end. */
		PAUSE,

		/** All gateways together respect the request rate that an endpoint states. */
		REQUEST_RATE,

		/** Requests that end endpoints are kept from them, and sound ones are not. */
		CRASHING_PROMPT,

		/** A configuration is in force in time. */
		CONFIGURATION_IN_TIME,

		/** A configuration never goes back. */
		CONFIGURATION_NEVER_BACK,

		/** A request that all configurations allow is never refused as not allowed. */
		PROPER_REQUEST_ADMITTED,

		/** A request that was read gets a complete answer. */
		COMPLETE_ANSWER,

		/** Endpoints stop work that nobody waits for. */
		CANCELLATION,

		/** A planned stop ends no request. */
		PLANNED_STOP,

		/** A request ends in time. */
		ANSWER_IN_TIME,

		/** Requests are served again after the last fault. */
		RECOVERY,

		/** Processes run until they are stopped. */
		PROCESS_LIFE

	}

}
