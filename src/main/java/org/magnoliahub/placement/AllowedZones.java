package org.magnoliahub.placement;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Zones in which a request may be served because of its homes.
 *
 * @param names names of the zones, possibly none; {@code null} if all zones are allowed
 */
public record AllowedZones(@Nullable Set<String> names) {

	/** For requests without homes. */
	public static final AllowedZones ALL = new AllowedZones(null);

	/**
	 * Creates zones with an immutable copy of their names.
	 */
	public AllowedZones {
		names = (names != null) ? Set.copyOf(names) : null;
	}

	/**
	 * Returns whether a zone is allowed.
	 * @param zone name of the zone
	 * @return whether its servers may serve the request
	 */
	public boolean contains(String zone) {
		return this.names == null || this.names.contains(zone);
	}

	/**
	 * Returns whether the request has homes.
	 * @return whether not all zones are allowed
	 */
	public boolean isRestricted() {
		return this.names != null;
	}

}
