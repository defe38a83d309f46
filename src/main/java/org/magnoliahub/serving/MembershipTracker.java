package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * When each listed gateway last wrote its row, and which rows of gateways that do not
 * return this gateway removes. One gateway is in charge of each row, so that a row costs
 * one call however many gateways there are.
 */
public final class MembershipTracker {

	/** Time between two writes of a live gateway's row. */
	public static final long WRITE_INTERVAL_MILLIS = 300_000;

	/** Age from which a row is taken to be left over; several writes were missed. */
	public static final long STALE_ROW_MILLIS = 3 * WRITE_INTERVAL_MILLIS;

	/** Gateways that left of which the last row is known. */
	private static final int MAXIMUM_DEPARTED = 1_024;

	private final String ownName;

	private final Map<String, Row> rows = new HashMap<>();

	private final Map<String, Long> departed = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAXIMUM_DEPARTED;
		}
	};

	/**
	 * Creates an empty list.
	 * @param ownName name of this gateway
	 */
	public MembershipTracker(String ownName) {
		this.ownName = ownName;
	}

	/**
	 * Notes a row.
	 * @param member name of the gateway
	 * @param incarnation number of the start of the gateway that wrote it
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
	 * Notes a row that a store has which came back from an older copy. The last row of a
	 * gateway that had left is left over at once.
	 * @param member name of the gateway
	 * @param incarnation number of the start of the gateway that wrote it
	 * @param revision revision of the row
	 * @param now monotonic time, in milliseconds
	 * @return whether the gateway still counts
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
	 * Forgets all rows, because their revisions mean nothing any more.
	 */
	public void clear() {
		this.rows.clear();
	}

	/**
	 * Notes that a row is gone.
	 * @param member name of the gateway
	 */
	public void recordRemoval(String member) {
		Row row = this.rows.remove(member);
		if (row != null) {
			this.departed.put(member, row.incarnation());
		}
	}

	/**
	 * Keeps only some rows; the others are gone.
	 * @param members names of the gateways that are listed
	 */
	public void retainAll(Set<String> members) {
		for (String member : List.copyOf(this.rows.keySet())) {
			if (!members.contains(member)) {
				recordRemoval(member);
			}
		}
	}

	/**
	 * Returns whether this gateway is listed.
	 * @return whether its row is known
	 */
	public boolean containsSelf() {
		return this.rows.containsKey(this.ownName);
	}

	/**
	 * Returns the rows that this gateway removes now.
	 * @param now monotonic time, in milliseconds
	 * @return rows of gateways that did not write for a long time
	 */
	public List<StaleRow> staleRows(long now) {
		List<String> live = new ArrayList<>();
		List<StaleRow> old = new ArrayList<>();
		this.rows.forEach((member, row) -> {
			if (now - row.seenAt() < STALE_ROW_MILLIS || member.equals(this.ownName)) {
				live.add(member);
			}
			else {
				old.add(new StaleRow(member, row.revision()));
			}
		});
		old.removeIf((row) -> !isInCharge(row.member(), live));
		return old;
	}

	private boolean isInCharge(String member, List<String> live) {
		return !live.isEmpty() && RendezvousHash.rank(member, live).get(0).equals(this.ownName);
	}

	/**
	 * A row of a gateway that does not return.
	 *
	 * @param member name of the gateway
	 * @param revision revision that the row must still have
	 */
	public record StaleRow(String member, long revision) {
	}

	private record Row(long incarnation, long revision, long seenAt) {
	}

}
