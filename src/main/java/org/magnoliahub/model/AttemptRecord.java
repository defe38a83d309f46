package org.magnoliahub.model;

/**
 * Record of one attempt to run a stage, stored for reports and queries.
 *
 * @param stage name of the stage
 * @param endpoint name of the endpoint
 * @param attempt number of the attempt at the stage, from 1
 * @param waitMillis time from requesting an endpoint until the call was sent, in
 * milliseconds
 * @param runMillis time from sending the call until the attempt ended, in milliseconds
 * @param result how the attempt ended: {@code completed}, {@code never_started},
 * {@code failed}, {@code lost} or {@code cancelled}
 * @param cost cost of the endpoint time, in the currency unit of
 * {@link StageDefinition#pricePerSecond()}
 */
public record AttemptRecord(String stage, String endpoint, int attempt, long waitMillis, long runMillis, String result,
		double cost) {

}
