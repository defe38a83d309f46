package org.magnoliahub.entry;

import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Short texts of unexpected exceptions for log lines.
 */
final class FailureText {

	private static final int MAXIMUM_MESSAGE_CHARACTERS = 300;

	private static final int SHOWN_FRAMES = 3;

	private FailureText() {
	}

	/**
	 * Describes an exception.
	 * @param failure the exception
	 * @return its class, the start of its message, and where it was thrown
	 */
	static String of(Throwable failure) {
		String text = failure.toString();
		String start = text.substring(0, Math.min(MAXIMUM_MESSAGE_CHARACTERS, text.length()));
		return start + " at "
				+ Stream.of(failure.getStackTrace())
					.limit(SHOWN_FRAMES)
					.map((frame) -> frame.getClassName() + "." + frame.getMethodName() + ":" + frame.getLineNumber())
					.collect(Collectors.joining(" < "));
	}

}
