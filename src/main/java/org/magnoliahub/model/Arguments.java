package org.magnoliahub.model;

/**
 * Argument checks whose exceptions name the argument and the violated rule.
 */
public final class Arguments {

	private Arguments() {
	}

	/**
	 * Checks that a text has at least one character other than white space.
	 * @param value the text, never {@code null}
	 * @param name description of the text for the exception message
	 * @return the text
	 * @throws IllegalArgumentException if the text is blank
	 */
	public static String requireText(String value, String name) {
		if (value.isBlank()) {
			throw new IllegalArgumentException(name + " must not be blank");
		}
		return value;
	}

	/**
	 * Checks that a number is in a closed range.
	 * @param value the number
	 * @param minimum the smallest allowed value
	 * @param maximum the largest allowed value
	 * @param name description of the number for the exception message
	 * @return the number
	 * @throws IllegalArgumentException if the number is outside the range
	 */
	public static long requireRange(long value, long minimum, long maximum, String name) {
		if (value < minimum || value > maximum) {
			throw new IllegalArgumentException(
					name + " must be from " + minimum + " to " + maximum + ", but was " + value);
		}
		return value;
	}

}
