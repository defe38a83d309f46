package org.magnoliahub.model;

/**
 * What is kept of one attempt for reports and queries.
 *
 * @param stage name of the stage
 * @param endpoint name of the endpoint
 * @param attempt number of the attempt at the stage, from 1
 * @param waitMillis time between the request for an endpoint and the sending, in
 * milliseconds
 * @param runMillis time between the sending and the end, in milliseconds
 * @param result how it ended: {@code completed}, {@code never_started}, {@code failed},
 * {@code lost} or {@code cancelled}
 * @param cost cost of the endpoint time, in the owner's currency unit
 */
public record AttemptRecord(String stage, String endpoint, int attempt, long waitMillis, long runMillis, String result,
		double cost) {

}
