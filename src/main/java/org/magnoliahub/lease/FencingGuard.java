package org.magnoliahub.lease;

import java.util.HashMap;
import java.util.Map;

import org.magnoliahub.model.Arguments;

/**
 * Rejects commands of former lease holders. Keeps the highest fencing number per duty in
 * memory, for the lifetime of the process.
 */
public final class FencingGuard {

	/** Maximum number of duties; commands for further duties are rejected. */
	public static final int MAXIMUM_DUTIES = 1_000;

	private final Map<String, Long> highestNumbers = new HashMap<>();

	private FencingGuard() {
	}

	/**
	 * Creates a guard without recorded numbers.
	 * @return the guard
	 */
	public static FencingGuard create() {
		return new FencingGuard();
	}

	/**
	 * Decides whether a command may be executed, and records its fencing number if so.
	 * @param duty name of the duty that the sender's lease protects, not blank
	 * @param fencingNumber fencing number of the sender's lease, at least 1
	 * @return {@code false} if a higher number is recorded for the duty, or the duty is
	 * new and the maximum number of duties is reached
	 * @throws IllegalArgumentException if an argument is out of range
	 */
	public boolean admit(String duty, long fencingNumber) {
		Arguments.requireText(duty, "duty");
		Arguments.requireRange(fencingNumber, 1, Long.MAX_VALUE, "fencing number");
		Long known = this.highestNumbers.get(duty);
		if (known == null && this.highestNumbers.size() >= MAXIMUM_DUTIES) {
			return false;
		}
		if (known != null && fencingNumber < known) {
			return false;
		}
		this.highestNumbers.put(duty, fencingNumber);
		return true;
	}

	/**
	 * Returns the highest fencing number recorded for a duty.
	 * @param duty name of the duty
	 * @return the number, 0 if none is recorded
	 */
	public long highestNumber(String duty) {
		return this.highestNumbers.getOrDefault(duty, 0L);
	}

}
