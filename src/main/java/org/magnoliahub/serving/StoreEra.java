package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * The era of the store's data, as all answers of the store state it. It rises each time
 * the store comes back from an older copy; revisions of one era mean nothing in another
 * one.
 */
public final class StoreEra {

	/** Era of a store that states none. */
	public static final long UNKNOWN = -1;

	private final List<Listener> listeners = new ArrayList<>();

	private long current = UNKNOWN;

	/**
	 * Adds a listener.
	 * @param listener learns of each new era
	 */
	public void subscribe(Listener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns the newest era that is known.
	 * @return the era, or {@link #UNKNOWN}
	 */
	public long current() {
		return this.current;
	}

	/**
	 * Takes the era that an answer states. Listeners are called before this returns.
	 * @param stated the era, empty if the answer states none
	 * @return whether the answer counts; one of an earlier era does not
	 */
	public boolean observe(OptionalLong stated) {
		if (stated.isEmpty() || stated.getAsLong() == this.current) {
			return true;
		}
		if (stated.getAsLong() < this.current) {
			return false;
		}
		long previous = this.current;
		this.current = stated.getAsLong();
		List.copyOf(this.listeners).forEach((listener) -> listener.onEraChange(previous, this.current));
		return true;
	}

	/**
	 * Learns of a new era.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Called once for each new era.
		 * @param previous the era before, or {@link #UNKNOWN}
		 * @param current the new one
		 */
		void onEraChange(long previous, long current);

	}

}
