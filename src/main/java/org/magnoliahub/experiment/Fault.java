package org.magnoliahub.experiment;

import java.util.List;

/**
 * A disturbance during a run, written {@code kind:target:factor:from:to}.
 *
 * @param kind what happens
 * @param target endpoint, zone or workspace
 * @param factor by what speed is divided or arrivals are multiplied; unused for a lost
 * zone
 * @param fromMillis start
 * @param toMillis end
 */
record Fault(Kind kind, String target, double factor, double fromMillis, double toMillis) {

	static Fault parse(String text) {
		List<String> parts = List.of(text.split(":"));
		if (parts.size() != 5) {
			throw new IllegalArgumentException("fault must be kind:target:factor:from:to, but was '" + text + "'");
		}
		return new Fault(Kind.valueOf(parts.get(0).toUpperCase(java.util.Locale.ROOT)), parts.get(1),
				Double.parseDouble(parts.get(2)), Double.parseDouble(parts.get(3)) * 1000,
				Double.parseDouble(parts.get(4)) * 1000);
	}

	/**
	 * Kind of fault.
	 */
	enum Kind {

		/** An endpoint becomes slower without notice. */
		SLOW,

		/** All endpoints of a zone are lost. */
		ZONE,

		/** A workspace sends a multiple of its arrivals. */
		BURST

	}

}
