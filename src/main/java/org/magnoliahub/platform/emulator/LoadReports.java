package org.magnoliahub.platform.emulator;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Load reports of an endpoint: its requests, its slots, and how long work takes on its
 * machine. One in some is malformed as a whole or in its last figure.
 */
final class LoadReports {

	/** One in this number of reports is malformed. */
	private static final int MALFORMED_SHARE = 6;

	private static final List<String> MALFORMED = List.of("", "-1", "text", "1,2", ",,,", "1e9,0,8,100");

	private static final List<String> MALFORMED_FIGURES = List.of("", "-1", "text");

	private static final int USUAL_PERCENT = 100;

	private static final int SPREAD_PERCENT = 40;

	private static final int STEP_PERCENT = 7;

	private final AtomicInteger count = new AtomicInteger();

	/**
	 * Returns the header of the next answer.
	 * @param running requests that the endpoint works on or refuses
	 * @param slots how many it works on at once
	 * @param slowdown how many times as long work takes
	 * @return the header with the end of its line
	 */
	String nextHeader(int running, int slots, int slowdown) {
		int number = this.count.getAndIncrement();
		String load = Math.min(running, slots) + ",0," + slots + ",";
		String report = load + slowdown * (USUAL_PERCENT + number * STEP_PERCENT % SPREAD_PERCENT);
		if (number % MALFORMED_SHARE == MALFORMED_SHARE - 1) {
			int kind = number / MALFORMED_SHARE % (MALFORMED.size() + MALFORMED_FIGURES.size());
			report = (kind < MALFORMED.size()) ? MALFORMED.get(kind)
					: load + MALFORMED_FIGURES.get(kind - MALFORMED.size());
		}
		return "Server-Load: " + report + "\r\n";
	}

}
