package org.magnoliahub.configurationcheck;

import java.util.Comparator;

/**
 * Fault or doubtful value in a configuration. Findings are ordered by place.
 *
 * @param severity the severity
 * @param path place of the value, or the place where a missing value is expected
 * @param message what was expected, what was found and what follows from it; contains no
 * API key
 */
public record Finding(Severity severity, JsonPath path, String message) implements Comparable<Finding> {

	private static final Comparator<Finding> ORDER = Comparator.comparing(Finding::path)
		.thenComparing(Finding::severity)
		.thenComparing(Finding::message);

	/** Limits the length of a message whatever the names in the file are. */
	private static final int MAXIMUM_QUOTED_CHARACTERS = 100;

	/**
	 * Creates an error.
	 * @param path place of the value
	 * @param message what was expected, what was found and what follows from it
	 * @return the finding
	 */
	public static Finding error(JsonPath path, String message) {
		return new Finding(Severity.ERROR, path, message);
	}

	/**
	 * Creates a warning.
	 * @param path place of the value
	 * @param message what was expected, what was found and what follows from it
	 * @return the finding
	 */
	public static Finding warning(JsonPath path, String message) {
		return new Finding(Severity.WARNING, path, message);
	}

	/**
	 * Quotes a text for a message.
	 * @param text text from the configuration
	 * @return its first characters in quotes
	 */
	public static String quote(String text) {
		boolean cut = text.length() > MAXIMUM_QUOTED_CHARACTERS;
		return "'" + (cut ? text.substring(0, MAXIMUM_QUOTED_CHARACTERS) + "..." : text) + "'";
	}

	@Override
	public int compareTo(Finding other) {
		return ORDER.compare(this, other);
	}

}
