package org.magnoliahub.platform;

/**
 * Checks texts of other writers that are sent on in headers.
 */
final class HeaderText {

	private static final char FIRST_VISIBLE = '!';

	private static final char LAST_VISIBLE = '~';

	private HeaderText() {
	}

	/**
	 * Returns whether a text consists of visible ASCII characters, so that it can be a
	 * header value and cannot end one.
	 * @param text the text
	 * @return {@code false} if it is empty or contains other characters, as spaces
	 */
	static boolean isVisible(String text) {
		for (int index = 0; index < text.length(); index++) {
			if (text.charAt(index) < FIRST_VISIBLE || text.charAt(index) > LAST_VISIBLE) {
				return false;
			}
		}
		return !text.isEmpty();
	}

}
