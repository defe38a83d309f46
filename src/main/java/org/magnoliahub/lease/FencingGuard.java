package org.magnoliahub.lease;

import java.util.HashMap;
import java.util.Map;

import org.magnoliahub.model.Arguments;

/**
 * Refuses commands of former lease holders. It remembers the highest fencing number per
 * duty for the lifetime of its process.
 */
public final class FencingGuard {

	/** Most duties remembered; a command for a further duty is refused. */
	public static final int MAXIMUM_DUTIES = 1_000;

	private final Map<String, Long> highestNumber = new HashMap<>();

	private FencingGuard() {
	}

	/**
	 * Creates a guard that has seen no number.
	 * @return the guard
	 */
	public static FencingGuard create() {
		return new FencingGuard();
	}

	/**
	 * Decides whether a command may be carried out, and remembers its number if so.
	 * @param duty name of the duty that the sender's lease is for, not blank
	 * @param fencingNumber number of the sender's lease, at least 1
	 * @return {@code false} if a higher number was seen for the duty or too many duties
	 * are known
	 * @throws IllegalArgumentException if an argument is out of range
	 */
	public boolean admit(String duty, long fencingNumber) {
		Arguments.requireText(duty, "duty");
		Arguments.requireRange(fencingNumber, 1, Long.MAX_VALUE, "fencing number");
		Long known = this.highestNumber.get(duty);
		if (known == null && this.highestNumber.size() >= MAXIMUM_DUTIES) {
			return false;
		}
		if (known != null && fencingNumber < known) {
			return false;
		}
		this.highestNumber.put(duty, fencingNumber);
		return true;
	}

	/**
	 * Returns the highest number seen.
	 * @param duty name of the duty
	 * @return the number, 0 if none was seen
	 */
	public long highestNumber(String duty) {
		return this.highestNumber.getOrDefault(duty, 0L);
	}

}
