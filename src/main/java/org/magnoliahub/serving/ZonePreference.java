package org.magnoliahub.serving;

/**
 * Zone in which a piece should be processed, because its inputs are stored there or its
 * result is needed there.
 *
 * @param zone name of the zone, empty for no preference
 * @param bytes bytes transferred between zones if the piece is processed in another zone
 */
public record ZonePreference(String zone, long bytes) {

	/** No preference. */
	public static final ZonePreference NONE = new ZonePreference("", 0);

	/** Minimum transfer size that justifies waiting for an endpoint in the zone. */
	private static final long MINIMUM_WAIT_BYTES = 250_000;

	/**
	 * Returns whether a piece should wait for an endpoint in the zone as long as its
	 * latency objective permits.
	 * @return whether a large transfer between zones would be necessary otherwise
	 */
	boolean justifiesWaiting() {
		return !this.zone.isEmpty() && this.bytes >= MINIMUM_WAIT_BYTES;
	}

	/**
	 * Returns whether a zone differs from the preferred zone.
	 * @param other zone of an endpoint
	 * @return whether there is a preferred zone and it is another one
	 */
	boolean isOtherZone(String other) {
		return !this.zone.isEmpty() && !this.zone.equals(other);
	}

}
