package org.magnoliahub.model;

/**
 * Output of one stage.
 *
 * @param stage the stage's name
 * @param content the output, plain text or JSON text
 * @param units amount of work, in tokens for model stages and in calls for services, at
 * least 0
 * @param endpointMillis time that the endpoint spent on the stage, in milliseconds, at
 * least 0
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
