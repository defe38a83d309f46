package org.magnoliahub.query;

/**
 * A statement that cannot be understood or is refused.
 */
public final class QueryException extends Exception {

	private static final long serialVersionUID = 1L;

	private final Kind kind;

	/**
	 * Creates the exception.
	 * @param kind what is wrong
	 * @param message what was expected, what came and, for a syntax fault, where
	 */
	public QueryException(Kind kind, String message) {
		super(message);
		this.kind = kind;
	}

	/**
	 * Returns what is wrong.
	 * @return the kind
	 */
	public Kind kind() {
		return this.kind;
	}

	/**
	 * What is wrong with a statement.
	 */
	public enum Kind {

		/** The text is no statement. */
		SYNTAX,

		/** The command cannot be carried out; nothing was changed. */
		REFUSED

	}

}
