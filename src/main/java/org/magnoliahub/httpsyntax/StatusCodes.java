package org.magnoliahub.httpsyntax;

/**
 * Decides which status codes a response may have.
 */
public final class StatusCodes {

	private static final int LENGTH = 3;

	private static final int LOWEST = 100;

	private static final int HIGHEST = 599;

	private static final int SWITCHING_PROTOCOLS = 101;

	private StatusCodes() {
	}

	/**
	 * Returns whether a response may have a status. A change of the protocol is never
	 * requested, so a response that announces one is malformed, too.
	 * @param text the status as it stands in the status line
	 * @return whether it consists of three digits, is from 100 to 599 and is not 101
	 */
	public static boolean isValid(String text) {
		if (text.length() != LENGTH) {
			return false;
		}
		for (int index = 0; index < LENGTH; index++) {
			char symbol = text.charAt(index);
			if (symbol < '0' || symbol > '9') {
				return false;
			}
		}
		int code = Integer.parseInt(text);
		return code >= LOWEST && code <= HIGHEST && code != SWITCHING_PROTOCOLS;
	}

}
