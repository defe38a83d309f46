package org.magnoliahub.coldstart;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.magnoliahub.serving.RendezvousHash;

/**
 * Gateways that may send requests to cold servers at present, as this gateway knows them.
 * <p>
 * As long as a gateway is informed, its view contains every other informed gateway: a new
 * gateway is informed only after all others have read its row or are no longer informed,
 * and a gateway whose row is gone remains in the views for longer than it can be
 * informed. If each gateway sends only what its position in its own view permits, the sum
 * therefore keeps the limit although the views differ.
 */
public final class GatewayView {

	/** Time between two reads of the list of gateways, once a gateway has started. */
	static final long READ_INTERVAL_MILLIS = 10_000;

	/**
	 * Added to the age up to which a view is used, to get the time after which a new
	 * gateway is in all views: 1 s for a late response of the store, and 5 s in which
	 * {@code MemberTable} keeps unlisted rows after a restoration of the store.
	 */
	static final long SETTLING_MARGIN_MILLIS = 6_000;

	/** Time for which a gateway stays in the view after it was last listed. */
	static final long RETENTION_MILLIS = 60_000;

	/**
	 * Time without its own row after which a gateway waits as if it were new. Others
	 * retain it for longer than this and two reads of the list.
	 */
	static final long MAXIMUM_ABSENCE_MILLIS = 30_000;

	/** Maximum number of positions that are remembered between two changes. */
	private static final int MAXIMUM_POSITIONS = 4_096;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final String self;

	private final long contactMillis;

	private final Map<String, Long> listedAt = new HashMap<>();

	private final Map<String, Integer> positions = new HashMap<>();

	private long selfListedAt = NEVER;

	private long joinedAt = NEVER;

	private long contactAt = NEVER;

	/**
	 * Creates a view that contains only this gateway, which is not informed.
	 * @param self name of this gateway
	 * @param contactMillis time without a response of the store after which the gateway
	 * is not informed, in milliseconds
	 */
	public GatewayView(String self, long contactMillis) {
		this.self = self;
		this.contactMillis = contactMillis;
	}

	/**
	 * Records a response of the store.
	 * @param now monotonic time, in milliseconds
	 */
	public void recordContact(long now) {
		this.contactAt = now;
	}

	/**
	 * Records the gateways that the store lists.
	 * @param names names of the gateways, with or without this one
	 * @param now monotonic time, in milliseconds
	 */
	public void recordList(Collection<String> names, long now) {
		int sizeBefore = this.listedAt.size();
		this.listedAt.values().removeIf((listed) -> now - listed > RETENTION_MILLIS);
		boolean changed = this.listedAt.size() != sizeBefore;
		for (String name : names) {
			if (!name.equals(this.self)) {
				changed |= this.listedAt.put(name, now) == null;
			}
		}
		if (changed) {
			this.positions.clear();
		}
		if (names.contains(this.self)) {
			recordSelf(now);
		}
	}

	private void recordSelf(long now) {
		if (now - this.selfListedAt > MAXIMUM_ABSENCE_MILLIS) {
			this.joinedAt = now;
		}
		this.selfListedAt = now;
	}

	/**
	 * Returns whether this gateway knows all gateways that may send requests to cold
	 * servers, and is known to them.
	 * @param now monotonic time, in milliseconds
	 * @return whether it may send its share
	 */
	public boolean isInformed(long now) {
		long viewMillis = READ_INTERVAL_MILLIS + this.contactMillis;
		return now - this.contactAt <= this.contactMillis && now - this.selfListedAt <= viewMillis
				&& now - this.joinedAt > viewMillis + SETTLING_MARGIN_MILLIS;
	}

	/**
	 * Returns the position of this gateway in the order that rendezvous hashing gives.
	 * @param key the key
	 * @return the position, from zero
	 */
	int position(String key) {
		if (this.positions.size() >= MAXIMUM_POSITIONS) {
			this.positions.clear();
		}
		return this.positions.computeIfAbsent(key, this::countAhead);
	}

	private int countAhead(String key) {
		long ownScore = RendezvousHash.score(key, this.self);
		return (int) this.listedAt.keySet()
			.stream()
			.filter((other) -> RendezvousHash.score(key, other) > ownScore)
			.count();
	}

	int size() {
		return this.listedAt.size() + 1;
	}

}
