package org.magnoliahub.ledger;

/**
 * The end of a request as a gateway logged it. Times are in milliseconds.
 *
 * @param gateway name of the gateway
 * @param route name of the route, empty if none was found
 * @param outcome how it ended
 * @param reason reason of a refusal or failure, without details
 * @param endedSecond second of its end, on the clock of the log
 * @param steps where its time went
 */
public record EndedRequest(String gateway, String route, Outcome outcome, String reason, long endedSecond,
		Steps steps) {

	/**
	 * Returns why the request was lost.
	 * @return the outcome with its reason, or with the step that took the time of a late
	 * one
	 */
	public String cause() {
		return switch (this.outcome) {
			case IN_TIME -> "in time";
			case LATE -> "late: " + this.steps.longest();
			default -> this.outcome.label() + ": " + this.reason;
		};
	}

	/**
	 * How a request ended.
	 */
	public enum Outcome {

		/** Answered within the latency objective. */
		IN_TIME("in time"),

		/** Answered later. */
		LATE("late"),

		/** Refused, nothing of it ran. */
		REFUSED("refused"),

		/** Failed after it may have run. */
		FAILED("failed"),

		/** Given up by its caller. */
		CANCELLED("cancelled");

		private final String label;

		Outcome(String label) {
			this.label = label;
		}

		String label() {
			return this.label;
		}

	}

	/**
	 * Where the time of a request went, in milliseconds.
	 *
	 * @param queue wait in the queues of stages
	 * @param call calls of stages
	 * @param hand way of pieces and results between gateways
	 * @param lost attempts and calls that gave nothing
	 * @param endpoint time from the last sending to the first event or the answer
	 * @param pause longest pause in the stream
	 */
	public record Steps(long queue, long call, long hand, long lost, long endpoint, long pause) {

		/**
		 * Returns the step that took most of the time, stage calls aside unless they took
		 * more than all others.
		 * @return name of the step
		 */
		String longest() {
			long most = Math.max(Math.max(this.queue, this.hand), Math.max(this.lost, this.endpoint));
			if (this.pause > Math.max(most, this.call)) {
				return "pause in the stream";
			}
			if (this.call > this.queue + this.hand + this.lost + this.endpoint) {
				return "stage calls";
			}
			if (most == this.queue) {
				return "queue of a stage";
			}
			if (most == this.endpoint) {
				return "endpoint";
			}
			return (most == this.lost) ? "attempts without result" : "way between gateways";
		}

	}

}
