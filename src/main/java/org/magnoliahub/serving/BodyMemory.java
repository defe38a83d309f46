package org.magnoliahub.serving;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Bounds the memory for bodies of all connections together. Beyond the limit the
 * incomplete body with the greatest weight is evicted, of the peer whose bodies weigh
 * most, so that a peer that sends without end does not cost others their requests.
 */
public final class BodyMemory {

	private final long limitBytes;

	private final Map<Holder, Share> shares = new LinkedHashMap<>();

	private long totalBytes;

	/**
	 * Creates the memory with no bodies.
	 * @param limitBytes total size of bodies that are kept, in bytes
	 */
	public BodyMemory(long limitBytes) {
		this.limitBytes = limitBytes;
	}

	/**
	 * Records the size of an incomplete body. If there is no room for it, holders are
	 * evicted until there is, possibly the given one.
	 * @param holder keeps the body
	 * @param peer sender of the body
	 * @param bytes present size of the body, in bytes
	 * @param weight rank for eviction, at least zero
	 */
	public void hold(Holder holder, Object peer, long bytes, long weight) {
		put(holder, new Share(peer, bytes, weight, true));
		while (this.totalBytes > this.limitBytes) {
			Holder heaviest = heaviestOfHeaviestPeer();
			if (heaviest == null) {
				return;
			}
			release(heaviest);
			heaviest.evict();
		}
	}

	/**
	 * Records that a body is complete and in use. It is not evicted any more.
	 * @param holder keeps the body
	 */
	public void complete(Holder holder) {
		Share share = this.shares.get(holder);
		if (share != null) {
			put(holder, new Share(share.peer(), share.bytes(), share.weight(), false));
		}
	}

	/**
	 * Records that a body is no longer kept.
	 * @param holder kept the body, or none
	 */
	public void release(Holder holder) {
		Share share = this.shares.remove(holder);
		if (share != null) {
			this.totalBytes -= share.bytes();
		}
	}

	private void put(Holder holder, Share share) {
		release(holder);
		this.shares.put(holder, share);
		this.totalBytes += share.bytes();
	}

	private @Nullable Holder heaviestOfHeaviestPeer() {
		Map<Object, Long> weights = new HashMap<>();
		this.shares.values()
			.stream()
			.filter(Share::evictable)
			.forEach((share) -> weights.merge(share.peer(), share.weight(), Long::sum));
		Object peer = weights.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey).orElse(null);
		return this.shares.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().evictable() && entry.getValue().peer().equals(peer))
			.max(Comparator.comparingLong((entry) -> entry.getValue().weight()))
			.map(Map.Entry::getKey)
			.orElse(null);
	}

	/**
	 * Returns the total size of all bodies.
	 * @return size, in bytes
	 */
	public long totalBytes() {
		return this.totalBytes;
	}

	/**
	 * Keeps a body in memory.
	 */
	public interface Holder {

		/**
		 * Drops the body, for which there is no room. The memory has released it.
		 */
		void evict();

	}

	private record Share(Object peer, long bytes, long weight, boolean evictable) {
	}

}
