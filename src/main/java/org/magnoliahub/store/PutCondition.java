package org.magnoliahub.store;

/**
 * Condition of a put to the object store.
 */
public sealed interface PutCondition {

	/** The object is replaced whatever it holds. */
	record Always() implements PutCondition {
	}

	/** The object does not exist. */
	record IfAbsent() implements PutCondition {
	}

	/**
	 * The object still has a known version.
	 *
	 * @param entityTag the version's tag
	 */
	record IfMatches(String entityTag) implements PutCondition {
	}

}
