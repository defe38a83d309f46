package org.magnoliahub.configuration;

/**
 * Violation of a rule in a configuration.
 *
 * @param kind kind of the faulty item
 * @param name name of the faulty item
 * @param field path of the faulty field in the item, for example {@code stages[1].pool};
 * empty for the item as a whole
 * @param message the expected value, the actual value and how to correct it
 */
public record ConfigurationFault(ItemKind kind, String name, String field, String message) {

	@Override
	public String toString() {
		return this.kind.label() + " " + this.name + (this.field.isEmpty() ? "" : ", " + this.field) + ": "
				+ this.message;
	}

}
