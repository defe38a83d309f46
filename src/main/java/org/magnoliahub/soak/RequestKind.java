package org.magnoliahub.soak;

/**
 * Kinds of requests of a soak.
 */
enum RequestKind {

	/** May run more than once. */
	LOOK("GET", "/look/", 1_500, 2, true, false, ""),

	/** May run at most once. */
	ORDER("POST", "/order/", 1_500, 1, false, false, ""),

	/** May run at most once, and may take longer than a planned stop leaves time for. */
	LONG("POST", "/long/", 12_000, 1, false, false, ""),

	/** A stream that another endpoint may resume. */
	DRAFT("POST", "/draft/", 5_000, 2, true, true, ""),

	/** A stream that may not be resumed. */
	ONCE("POST", "/once/", 5_000, 1, false, true, ""),

	/** A resumable stream after two stages. */
	STAGED("POST", "/staged/", 5_000, 2, true, true, "2,2");

	/** Pieces of each stage of {@link #STAGED}. */
	static final int PIECES = 2;

	private final String method;

	private final String prefix;

	private final long timeoutMillis;

	private final int attempts;

	private final boolean repeatable;

	private final boolean stream;

	private final String stagePieces;

	RequestKind(String method, String prefix, long timeoutMillis, int attempts, boolean repeatable, boolean stream,
			String stagePieces) {
		this.method = method;
		this.prefix = prefix;
		this.timeoutMillis = timeoutMillis;
		this.attempts = attempts;
		this.repeatable = repeatable;
		this.stream = stream;
		this.stagePieces = stagePieces;
	}

	String method() {
		return this.method;
	}

	String prefix() {
		return this.prefix;
	}

	long timeoutMillis() {
		return this.timeoutMillis;
	}

	int attempts() {
		return this.attempts;
	}

	boolean isRepeatable() {
		return this.repeatable;
	}

	boolean isStream() {
		return this.stream;
	}

	String stagePieces() {
		return this.stagePieces;
	}

	/**
	 * Returns the service that runs it.
	 * @return name of the service
	 */
	String service() {
		if (this == LONG) {
			return "long";
		}
		return this.stream ? "model" : "plain";
	}

}
