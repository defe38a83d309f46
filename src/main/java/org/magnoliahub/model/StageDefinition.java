package org.magnoliahub.model;

/**
 * A stage of a pipeline.
 *
 * @param name the stage's name, unique in its pipeline, not blank
 * @param type what the stage does
 * @param pool name of the pool of endpoints that executes it, not blank
 * @param idempotent whether a call may be retried after it may have run
 * @param path HTTP path at the back end, starting with a slash
 * @param pricePerSecond price of one second of endpoint time, in the owner's currency
 * unit, not negative
 */
public record StageDefinition(String name, StageType type, String pool, boolean idempotent, String path,
		double pricePerSecond) {

	/**
	 * Checks all components.
	 * @throws IllegalArgumentException if a text is blank, the path has no leading slash
	 * or the price is negative
	 */
	public StageDefinition {
		Arguments.requireText(name, "stage name");
		Arguments.requireText(pool, "pool of stage " + name);
		if (!path.startsWith("/")) {
			throw new IllegalArgumentException("path of stage " + name + " must start with /, but was " + path);
		}
		if (!(pricePerSecond >= 0)) {
			throw new IllegalArgumentException(
					"price of stage " + name + " must not be negative, but was " + pricePerSecond);
		}
	}

}
