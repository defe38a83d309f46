package org.magnoliahub.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * The versions of the configuration that the operator wrote. Each adds a route and a key,
 * which it and the versions behind it have until as many versions as are kept have been
 * written. Times are monotonic, in milliseconds.
 */
final class ConfigurationVersions {

	/** Versions that have a route or a key, from the one that adds it. */
	static final int KEPT = 4;

	/** No version. */
	static final int NONE = -1;

	private static final int NUMBER_STEP = 3;

	private final List<Version> versions = new ArrayList<>();

	/**
	 * Notes that the operator begins to write the next version.
	 * @param now the time
	 * @return index of the version, from 0
	 */
	synchronized int begin(long now) {
		this.versions.add(new Version(now, Long.MAX_VALUE));
		return newest();
	}

	/**
	 * Notes that the store has acknowledged a version.
	 * @param index index of the version
	 * @param now the time
	 */
	synchronized void accepted(int index, long now) {
		this.versions.set(index, new Version(this.versions.get(index).begunMillis(), now));
	}

	/**
	 * Returns the newest version that the operator has begun to write.
	 * @return its index, or {@link #NONE}
	 */
	synchronized int newest() {
		return this.versions.size() - 1;
	}

	/**
	 * Returns the newest version that the operator had begun to write at a moment.
	 * @param moment the moment
	 * @return its index, or {@link #NONE}
	 */
	synchronized int newestBegun(long moment) {
		int index = newest();
		while (index >= 0 && this.versions.get(index).begunMillis() > moment) {
			index--;
		}
		return index;
	}

	/**
	 * Returns the newest version that the store had acknowledged before a moment.
	 * @param moment the moment
	 * @return its index, or {@link #NONE}
	 */
	synchronized int newestAccepted(long moment) {
		int index = newest();
		while (index >= 0 && this.versions.get(index).acceptedMillis() >= moment) {
			index--;
		}
		return index;
	}

	/**
	 * Returns the versions that the operator wrote.
	 * @return the versions in their order
	 */
	synchronized List<Version> versions() {
		return List.copyOf(this.versions);
	}

	static long number(int index) {
		return (long) NUMBER_STEP * (index + 1);
	}

	static String prefix(int index) {
		return "/new-" + number(index) + "/";
	}

	static String key(int index) {
		return "key-new-" + number(index);
	}

	/**
	 * Returns the oldest version whose route and key a version still has.
	 * @param index index of the version
	 * @return index of the oldest one
	 */
	static int oldestKept(int index) {
		return Math.max(0, index - KEPT + 1);
	}

	/**
	 * When the operator wrote a version.
	 *
	 * @param begunMillis time before it was written
	 * @param acceptedMillis time after the store acknowledged it
	 */
	record Version(long begunMillis, long acceptedMillis) {
	}

}
