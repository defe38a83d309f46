package org.magnoliahub.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * Pieces that gateways announced and will submit once earlier stages of their requests
 * are complete.
 */
final class AnnouncedPieces {

	private final Map<Key, Announcement> announcements = new HashMap<>();

	/**
	 * Adds an announcement, which replaces an earlier one for the same stage.
	 * @param origin submitter of the announcement
	 * @param requestId id that the caller assigned to the request
	 * @param stage index of the stage
	 * @param pieces number of pieces
	 * @param bytes total size of their results, in bytes
	 * @param expiresAt monotonic time at which the announcement expires, in milliseconds
	 */
	void add(JobOrigin origin, String requestId, int stage, int pieces, long bytes, long expiresAt) {
		this.announcements.put(new Key(origin, requestId, stage), new Announcement(pieces, bytes, expiresAt));
	}

	/**
	 * Removes an announcement because the pieces were submitted or will not be.
	 * @param origin submitter of the announcement
	 * @param requestId id that the caller assigned to the request
	 * @param stage index of the stage
	 */
	void remove(JobOrigin origin, String requestId, int stage) {
		this.announcements.remove(new Key(origin, requestId, stage));
	}

	/**
	 * Removes all announcements of a submitter.
	 * @param origin the submitter
	 */
	void removeAll(JobOrigin origin) {
		this.announcements.keySet().removeIf((key) -> key.origin().equals(origin));
	}

	/**
	 * Removes expired announcements.
	 * @param now monotonic time, in milliseconds
	 */
	void removeExpired(long now) {
		this.announcements.values().removeIf((announcement) -> announcement.expiresAt() <= now);
	}

	boolean isEmpty() {
		return this.announcements.isEmpty();
	}

	int pieces() {
		return this.announcements.values().stream().mapToInt(Announcement::pieces).sum();
	}

	long bytes() {
		return this.announcements.values().stream().mapToLong(Announcement::bytes).sum();
	}

	private record Key(JobOrigin origin, String requestId, int stage) {
	}

	private record Announcement(int pieces, long bytes, long expiresAt) {
	}

}
