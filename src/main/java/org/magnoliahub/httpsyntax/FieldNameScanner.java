package org.magnoliahub.httpsyntax;

/**
 * Checks the names of the fields of one head or trailer section as its bytes arrive. A
 * section begins with a line that has no field, the status line or the size of the last
 * chunk. A line that continues the value of the line before it is malformed.
 */
public final class FieldNameScanner {

	private static final byte DELETE = 0x7f;

	private State state = State.BEFORE_FIRST_LINE;

	/**
	 * Starts a new section.
	 */
	public void reset() {
		this.state = State.BEFORE_FIRST_LINE;
	}

	/**
	 * Takes the next byte of the section.
	 * @param next the byte
	 */
	public void accept(byte next) {
		this.state = switch (this.state) {
			case BEFORE_FIRST_LINE -> isSkipped(next) ? State.BEFORE_FIRST_LINE : State.FIRST_LINE;
			case FIRST_LINE, VALUE -> (next == '\n') ? State.LINE_START : this.state;
			case LINE_START -> afterLineStart(next);
			case NAME -> afterNameSymbol(next);
			case LINE_START_RETURN -> (next == '\n') ? State.ENDED : State.MALFORMED;
			case ENDED, MALFORMED -> this.state;
		};
	}

	// Blanks, line ends and control characters before the first line belong to no line.
	private static boolean isSkipped(byte next) {
		return next >= 0 && (next <= ' ' || next == DELETE);
	}

	private static State afterLineStart(byte next) {
		return switch (next) {
			case '\r' -> State.LINE_START_RETURN;
			case '\n' -> State.ENDED;
			case ':' -> State.MALFORMED;
			default -> afterNameSymbol(next);
		};
	}

	private static State afterNameSymbol(byte next) {
		if (next == ':') {
			return State.VALUE;
		}
		return FieldNames.isTokenSymbol(next) ? State.NAME : State.MALFORMED;
	}

	/**
	 * Returns whether nothing before the next line feed matters. Bytes before it may be
	 * left out.
	 * @return whether the scanner is within the first line or a value
	 */
	public boolean awaitsLineEnd() {
		return this.state == State.FIRST_LINE || this.state == State.VALUE;
	}

	/**
	 * Returns whether a field of the section has a name that is no token.
	 * @return whether the section is malformed
	 */
	public boolean isMalformed() {
		return this.state == State.MALFORMED;
	}

	private enum State {

		BEFORE_FIRST_LINE, FIRST_LINE, LINE_START, LINE_START_RETURN, NAME, VALUE, ENDED, MALFORMED

	}

}
