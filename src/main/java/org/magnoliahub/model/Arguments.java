package org.magnoliahub.model;

/**
 * Argument checks with precise messages.
 */
public final class Arguments {

	private Arguments() {
	}

	/**
	 * Requires a text with at least one character that is not white space.
	 * @param value the text, never {@code null}
	 * @param name what the text is, for the message
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
	 * Requires a number in a closed range.
	 * @param value the number
	 * @param minimum the smallest allowed value
	 * @param maximum the largest allowed value
	 * @param name what the number is, for the message
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
