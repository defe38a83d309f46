package org.magnoliahub.model;

/**
 * Result of one stage.
 *
 * @param stage the stage's name
 * @param content the content, as text or JSON text
 * @param units work done, in tokens for model stages and calls for services, at least 0
 * @param endpointMillis time the endpoint spent on it, in milliseconds, at least 0
 */
public record StageOutput(String stage, String content, long units, long endpointMillis) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public StageOutput {
		Arguments.requireRange(units, 0, Long.MAX_VALUE, "units of stage " + stage);
		Arguments.requireRange(endpointMillis, 0, Long.MAX_VALUE, "endpoint time of stage " + stage);
	}

}
