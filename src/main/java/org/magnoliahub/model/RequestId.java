package org.magnoliahub.model;

/**
 * Identifies one accepted request.
 *
 * @param value the text form, not blank, at most {@value #MAXIMUM_LENGTH} characters
 */
public record RequestId(String value) {

	/** Maximum length of the text form, in characters. */
	public static final int MAXIMUM_LENGTH = 128;

	/**
	 * Checks the text.
	 * @throws IllegalArgumentException if it is blank or too long
	 */
	public RequestId {
		Arguments.requireText(value, "request id");
		Arguments.requireRange(value.length(), 1, MAXIMUM_LENGTH, "length of request id");
	}

}
