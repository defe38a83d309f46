package org.magnoliahub.query;

import java.util.Map;

/**
 * A condition on one field.
 *
 * @param field name of the field
 * @param operator how it compares
 * @param value the value it is compared with
 */
public record Comparison(String field, Operator operator, String value) {

	/**
	 * Returns whether the condition holds. Whole numbers are compared as numbers, other
	 * values as text.
	 * @param actual value of the field
	 * @return whether it holds
	 */
	public boolean holds(String actual) {
		int order = actual.compareTo(this.value);
		if (isNumber(actual) && isNumber(this.value)) {
			order = Long.compare(Long.parseLong(actual), Long.parseLong(this.value));
		}
		return switch (this.operator) {
			case EQUAL -> order == 0;
			case NOT_EQUAL -> order != 0;
			case LESS -> order < 0;
			case LESS_OR_EQUAL -> order <= 0;
			case GREATER -> order > 0;
			case GREATER_OR_EQUAL -> order >= 0;
		};
	}

	/**
	 * Returns whether the condition holds for a row.
	 * @param fields its fields; one that is missing counts as empty
	 * @return whether it holds
	 */
	boolean holdsFor(Map<String, String> fields) {
		return holds(fields.getOrDefault(this.field, ""));
	}

	private static boolean isNumber(String text) {
		return text.matches("\\d{1,18}");
	}

	/**
	 * How a field is compared.
	 */
	public enum Operator {

		/** Equal. */
		EQUAL("="),

		/** Not equal. */
		NOT_EQUAL("!="),

		/** Less. */
		LESS("<"),

		/** Less or equal. */
		LESS_OR_EQUAL("<="),

		/** Greater. */
		GREATER(">"),

		/** Greater or equal. */
		GREATER_OR_EQUAL(">=");

		private final String symbol;

		Operator(String symbol) {
			this.symbol = symbol;
		}

		/**
		 * Returns the operator as written.
		 * @return the symbol
		 */
		public String symbol() {
			return this.symbol;
		}

	}

}
