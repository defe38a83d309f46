package org.magnoliahub.serving;

/**
 * Block of requests whose prompts have a certain part.
 */
final class PromptBlock {

	/** Time from the block to the first try. */
	private static final long FIRST_TRY_MILLIS = 10_000;

	/** Factor between the pauses before two tries. */
	private static final long PAUSE_FACTOR = 5;

	private static final long MINIMUM_RETRY_MILLIS = 1_000;

	private final long since;

	private int triesUsed;

	PromptBlock(long since) {
		this.since = since;
	}

	/**
	 * Returns the number of tries that are due.
	 * @param now monotonic time, in milliseconds
	 * @return the number, zero before the first one
	 */
	int triesDue(long now) {
		int tries = 0;
		long due = FIRST_TRY_MILLIS;
		long pause = FIRST_TRY_MILLIS;
		while (now - this.since >= due) {
			tries++;
			pause *= PAUSE_FACTOR;
			due += pause;
		}
		return tries;
	}

	/**
	 * Returns whether the latest try is left to this gateway.
	 * @param now monotonic time, in milliseconds
	 * @return whether a try is due that it has not used
	 */
	boolean isTryLeft(long now) {
		return triesDue(now) > this.triesUsed;
	}

	/**
	 * Uses all tries that are due.
	 * @param now monotonic time, in milliseconds
	 */
	void useTry(long now) {
		this.triesUsed = triesDue(now);
	}

	/**
	 * Returns the time until the next try is due.
	 * @param now monotonic time, in milliseconds
	 * @return milliseconds, at least one second
	 */
	long retryAfterMillis(long now) {
		long due = FIRST_TRY_MILLIS;
		long pause = FIRST_TRY_MILLIS;
		while (now - this.since >= due) {
			pause *= PAUSE_FACTOR;
			due += pause;
		}
		return Math.max(MINIMUM_RETRY_MILLIS, this.since + due - now);
	}

}
