package org.magnoliahub.report;

import java.util.List;

/**
 * Exact sums over requests, independent of which records are kept.
 *
 * @param classes sums by request class
 * @param reasons requests by outcome and reason, without complete ones
 * @param stages sums by stage of a pipeline
 */
public record RecordTotals(List<ClassTotals> classes, List<ReasonTotals> reasons, List<StageTotals> stages) {

	/**
	 * Copies the lists.
	 */
	public RecordTotals {
		classes = List.copyOf(classes);
		reasons = List.copyOf(reasons);
		stages = List.copyOf(stages);
	}

	/**
	 * Returns the number of requests.
	 * @return requests of all classes
	 */
	public long requests() {
		return this.classes.stream().mapToLong(ClassTotals::requests).sum();
	}

	/**
	 * Sums of a request class.
	 *
	 * @param requestClass name of the class
	 * @param requests requests that ended
	 * @param complete requests with the whole answer
	 * @param inTime requests with the whole answer within the deadline
	 * @param notRun requests of which nothing ran
	 * @param failed requests of which something ran and that have no complete answer
	 * @param unknown requests whose outcome is unknown
	 */
	public record ClassTotals(String requestClass, long requests, long complete, long inTime, long notRun, long failed,
			long unknown) {

		ClassTotals plus(ClassTotals other) {
			return new ClassTotals(this.requestClass, this.requests + other.requests, this.complete + other.complete,
					this.inTime + other.inTime, this.notRun + other.notRun, this.failed + other.failed,
					this.unknown + other.unknown);
		}

	}

	/**
	 * Requests with a reason.
	 *
	 * @param outcome the outcome
	 * @param reason the reason, possibly empty
	 * @param requests number of requests
	 */
	public record ReasonTotals(String outcome, String reason, long requests) {

	}

	/**
	 * Sums of a stage.
	 *
	 * @param pipeline name of the pipeline
	 * @param stage name of the stage
	 * @param attempts attempts sent
	 * @param completed attempts that completed
	 * @param cost cost of all attempts, in the owner's currency unit
	 * @param wastedCost part of the cost that did not go into an answer in time
	 * @param waitMillis sum of the waits for an endpoint, in milliseconds
	 * @param runMillis compressed histogram of the time of completed attempts, in
	 * milliseconds
	 */
	public record StageTotals(String pipeline, String stage, long attempts, long completed, double cost,
			double wastedCost, long waitMillis, byte[] runMillis) {

	}

}
