package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks when each gateway last wrote its membership row, and determines which stale rows
 * this gateway removes. Rendezvous hashing makes one live gateway responsible for each
 * row, so the removal of a row costs one store call regardless of the number of gateways.
 */
public final class MembershipTracker {

	/** Interval at which a live gateway writes its row. */
	public static final long WRITE_INTERVAL_MILLIS = 300_000;

	/** Age from which a row is stale, because its gateway missed several writes. */
	public static final long STALE_ROW_MILLIS = 3 * WRITE_INTERVAL_MILLIS;

	/** Maximum number of removed gateways whose last incarnation is kept. */
	private static final int MAXIMUM_DEPARTED = 1_024;

	private final String gatewayName;

	private final Map<String, Row> rows = new HashMap<>();

	private final Map<String, Long> departed = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAXIMUM_DEPARTED;
		}
	};

	/**
	 * Creates an empty tracker.
	 * @param gatewayName name of this gateway
	 */
	public MembershipTracker(String gatewayName) {
		this.gatewayName = gatewayName;
	}

	/**
	 * Records a row that the store lists. Its age restarts only if its revision is new.
	 * @param member name of the gateway
	 * @param incarnation incarnation of the gateway process that wrote the row
	 * @param revision revision of the row
	 * @param now monotonic time, in milliseconds
	 */
	public void recordRow(String member, long incarnation, long revision, long now) {
		this.departed.remove(member);
		Row known = this.rows.get(member);
		if (known == null || known.revision() != revision) {
			this.rows.put(member, new Row(incarnation, revision, now));
		}
	}

	/**
	 * Records a row that the store lists after its restoration from an older backup. The
	 * row of a gateway process whose row had been removed before is stale at once.
	 * @param member name of the gateway
	 * @param incarnation incarnation of the gateway process that wrote the row
	 * @param revision revision of the row
	 * @param now monotonic time, in milliseconds
	 * @return whether the gateway is still a member
	 */
	public boolean recordRestoredRow(String member, long incarnation, long revision, long now) {
		Long last = this.departed.get(member);
		if (last == null || last != incarnation) {
			recordRow(member, incarnation, revision, now);
			return true;
		}
		this.rows.put(member, new Row(incarnation, revision, now - STALE_ROW_MILLIS));
		return false;
	}

	/**
	 * Removes all rows, because revisions from before a restoration of the store are not
	 * comparable with new ones.
	 */
	public void clear() {
		this.rows.clear();
	}

	/**
	 * Records that a row was removed from the store.
	 * @param member name of the gateway
	 */
	public void recordRemoval(String member) {
		Row row = this.rows.remove(member);
		if (row != null) {
			this.departed.put(member, row.incarnation());
		}
	}

	/**
	 * Records the removal of all rows except those of the given gateways.
	 * @param members names of the listed gateways
	 */
	public void retainAll(Set<String> members) {
		for (String member : List.copyOf(this.rows.keySet())) {
			if (!members.contains(member)) {
				recordRemoval(member);
			}
		}
	}

	/**
	 * Returns whether the store lists this gateway.
	 * @return whether the row of this gateway is known
	 */
	public boolean containsSelf() {
		return this.rows.containsKey(this.gatewayName);
	}

	/**
	 * Returns the stale rows that this gateway is responsible for removing.
	 * @param now monotonic time, in milliseconds
	 * @return rows that have not changed for {@link #STALE_ROW_MILLIS}
	 */
	public List<StaleRow> staleRows(long now) {
		List<String> live = new ArrayList<>();
		List<StaleRow> stale = new ArrayList<>();
		this.rows.forEach((member, row) -> {
			if (now - row.seenAt() < STALE_ROW_MILLIS || member.equals(this.gatewayName)) {
				live.add(member);
			}
			else {
				stale.add(new StaleRow(member, row.revision()));
			}
		});
		stale.removeIf((row) -> !isResponsible(row.member(), live));
		return stale;
	}

	private boolean isResponsible(String member, List<String> live) {
		return !live.isEmpty() && RendezvousHash.rank(member, live).get(0).equals(this.gatewayName);
	}

	/**
	 * Stale row to be removed.
	 *
	 * @param member name of the gateway
	 * @param revision revision that the row must still have when it is removed
	 */
	public record StaleRow(String member, long revision) {
	}

	private record Row(long incarnation, long revision, long seenAt) {
	}

}
