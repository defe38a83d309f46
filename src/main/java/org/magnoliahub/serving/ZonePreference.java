package org.magnoliahub.serving;

/**
 * Where a piece should be made, because its inputs lie there or its result is needed
 * there.
 *
 * @param zone the zone, empty if it does not matter
 * @param bytes what moves between zones if the piece is made elsewhere
 */
public record ZonePreference(String zone, long bytes) {

	/** Made anywhere. */
	public static final ZonePreference NONE = new ZonePreference("", 0);

	/** Moving less than this is not worth a wait. */
	private static final long LEAST_BYTES = 250_000;

	/**
	 * Returns whether a piece waits for the zone while it has time.
	 * @return whether much is moved otherwise
	 */
	boolean justifiesWaiting() {
		return !this.zone.isEmpty() && this.bytes >= LEAST_BYTES;
	}

	/**
	 * Returns whether something is moved.
	 * @param other zone of an endpoint
	 * @return whether it is another zone than the preferred one
	 */
	boolean isOtherZone(String other) {
		return !this.zone.isEmpty() && !this.zone.equals(other);
	}

}
