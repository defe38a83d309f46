package org.magnoliahub.store;

/**
 * Condition on the present object under which a put takes effect.
 */
public sealed interface PutCondition {

	/** Holds always. */
	record Always() implements PutCondition {
	}

	/** Holds if the object does not exist. */
	record IfAbsent() implements PutCondition {
	}

	/**
	 * Holds if the object has a given version.
	 *
	 * @param entityTag entity tag of the version
	 */
	record IfMatches(String entityTag) implements PutCondition {
	}

}
