package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Era of the store's data, which all responses of the store contain. It increases each
 * time the store is restored from an older backup. Revisions of different eras are not
 * comparable.
 */
public final class StoreEra {

	/** Era before a response contained one. */
	public static final long UNKNOWN = -1;

	private final List<Listener> listeners = new ArrayList<>();

	private long current = UNKNOWN;

	/**
	 * Adds a listener.
	 * @param listener listener that is notified of each new era
	 */
	public void subscribe(Listener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns the latest known era.
	 * @return the era, or {@link #UNKNOWN}
	 */
	public long current() {
		return this.current;
	}

	/**
	 * Processes the era of a response. Listeners are notified of a new era before this
	 * method returns.
	 * @param reported the era, empty if the response contains none
	 * @return whether the response can be used; {@code false} for one of an earlier era
	 */
	public boolean observe(OptionalLong reported) {
		if (reported.isEmpty() || reported.getAsLong() == this.current) {
			return true;
		}
		if (reported.getAsLong() < this.current) {
			return false;
		}
		long previous = this.current;
		this.current = reported.getAsLong();
		List.copyOf(this.listeners).forEach((listener) -> listener.onEraChange(previous, this.current));
		return true;
	}

	/**
	 * Listener for changes of the era.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Called once for each new era.
		 * @param previous the previous era, or {@link #UNKNOWN}
		 * @param current the new era
		 */
		void onEraChange(long previous, long current);

	}

}
