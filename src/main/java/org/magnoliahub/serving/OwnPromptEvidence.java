package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Evidence about parts of prompts that this gateway has seen itself.
 */
final class OwnPromptEvidence {

	/** Maximum number of parts. */
	private static final int MAXIMUM_PARTS = 32;

	/** Maximum number of ends of one part, more than any decision needs. */
	private static final int MAXIMUM_ENDS = 16;

	/** Maximum number of cleared ends of one part, which bounds the size of a row. */
	private static final int MAXIMUM_CLEARED_ENDS = 64;

	/**
	 * Time in which an answer may clear a part before its ends are passed on, if the part
	 * was answered before or this gateway cannot know that yet.
	 */
	private static final long CLEARING_MILLIS = 500;

	/** Time after the start in which a gateway has seen too few answers. */
	private static final long STARTUP_MILLIS = 10_000;

	private final long startedAt;

	private final Map<Long, Entry> entries = new LinkedHashMap<>();

	OwnPromptEvidence(long startedAt) {
		this.startedAt = startedAt;
	}

	void addEnd(long part, long end, boolean answered, long now) {
		Entry entry = this.entries.computeIfAbsent(part, (absent) -> new Entry(answered));
		boolean hesitates = answered || now - this.startedAt < STARTUP_MILLIS;
		if (entry.ends.isEmpty()) {
			entry.publishedFrom = hesitates ? now + CLEARING_MILLIS : now;
		}
		entry.ends.putIfAbsent(end, now);
		limit(entry.ends);
		removeSurplus(part);
	}

	// Keeps the first end, the last one, and those that are furthest apart, because
	// moments
	// are counted.
	private static void limit(Map<Long, Long> ends) {
		while (ends.size() > MAXIMUM_ENDS) {
			List<Map.Entry<Long, Long>> ordered = new ArrayList<>(ends.entrySet());
			ordered.sort(Map.Entry.comparingByValue());
			int closest = 1;
			for (int index = 2; index < ordered.size() - 1; index++) {
				if (gap(ordered, index) < gap(ordered, closest)) {
					closest = index;
				}
			}
			ends.remove(ordered.get(closest).getKey());
		}
	}

	private static long gap(List<Map.Entry<Long, Long>> ordered, int index) {
		return ordered.get(index).getValue() - ordered.get(index - 1).getValue();
	}

	// Keeps the parts with the most ends.
	private void removeSurplus(long added) {
		while (this.entries.size() > MAXIMUM_PARTS) {
			this.entries.keySet()
				.stream()
				.filter((part) -> part != added)
				.min(Comparator.comparingInt((Long part) -> rank(this.entries.get(part))))
				.ifPresent(this.entries::remove);
		}
	}

	private static int rank(@Nullable Entry entry) {
		return (entry != null) ? entry.ends.size() + (entry.blocked ? MAXIMUM_ENDS : 0) : 0;
	}

	void clear(long part, Set<Long> ends) {
		Entry entry = this.entries.computeIfAbsent(part, (absent) -> new Entry(true));
		ends.stream()
			.limit(Math.max(0, MAXIMUM_CLEARED_ENDS - entry.clearedEnds.size()))
			.forEach(entry.clearedEnds::add);
		removeSurplus(part);
	}

	/**
	 * Takes over the evidence from before a restart.
	 * @param evidence what was written then
	 */
	void restore(List<PromptEvidence> evidence) {
		for (PromptEvidence item : evidence) {
			Entry entry = this.entries.computeIfAbsent(item.part(), (absent) -> new Entry(item.answered()));
			item.ends().forEach(entry.ends::putIfAbsent);
			entry.clearedEnds.addAll(item.clearedEnds());
			entry.blocked |= item.blocked();
			limit(entry.ends);
			removeSurplus(item.part());
		}
	}

	/**
	 * Drops ends that are older than a time and have not led to a block.
	 * @param time monotonic time, in milliseconds
	 * @param blocked parts that are blocked
	 * @return whether something was dropped
	 */
	boolean expire(long time, Set<Long> blocked) {
		if (this.entries.isEmpty()) {
			return false;
		}
		boolean changed = false;
		for (Map.Entry<Long, Entry> item : this.entries.entrySet()) {
			if (!blocked.contains(item.getKey())) {
				changed |= item.getValue().ends.values().removeIf((seenAt) -> seenAt < time);
			}
		}
		return this.entries.values().removeIf(Entry::isEmpty) | changed;
	}

	void setBlocked(Set<Long> parts) {
		if (this.entries.isEmpty()) {
			return;
		}
		this.entries.forEach((part, entry) -> entry.blocked = parts.contains(part) && !entry.ends.isEmpty());
	}

	/**
	 * Drops ends that were cleared, and clearings of ends that no gateway states any
	 * more.
	 * @param suspicions the evidence of all gateways
	 * @return whether something was dropped
	 */
	boolean discardCleared(Map<Long, PromptSuspicion> suspicions) {
		boolean changed = false;
		for (Map.Entry<Long, Entry> item : this.entries.entrySet()) {
			PromptSuspicion suspicion = suspicions.get(item.getKey());
			if (suspicion == null) {
				continue;
			}
			Entry entry = item.getValue();
			changed |= entry.clearedEnds.retainAll(suspicion.ends());
			changed |= entry.ends.keySet().removeAll(suspicion.clearedEnds());
		}
		return this.entries.values().removeIf(Entry::isEmpty) | changed;
	}

	/**
	 * Returns the evidence that counts for the decisions of this gateway.
	 * @return all evidence
	 */
	List<PromptEvidence> all() {
		List<PromptEvidence> all = new ArrayList<>();
		this.entries.forEach((part, entry) -> all.add(entry.evidence(part)));
		return all;
	}

	/**
	 * Returns the evidence for the other gateways.
	 * @param now monotonic time, in milliseconds
	 * @return the evidence without that which an answer may clear soon
	 */
	List<PromptEvidence> published(long now) {
		List<PromptEvidence> published = new ArrayList<>();
		this.entries.forEach((part, entry) -> {
			if (entry.publishedFrom <= now) {
				published.add(entry.evidence(part));
			}
		});
		return published;
	}

	private static final class Entry {

		private final boolean answered;

		private final Map<Long, Long> ends = new LinkedHashMap<>();

		private final Set<Long> clearedEnds = new HashSet<>();

		private boolean blocked;

		private long publishedFrom = Long.MIN_VALUE;

		private Entry(boolean answered) {
			this.answered = answered;
		}

		private boolean isEmpty() {
			return this.ends.isEmpty() && this.clearedEnds.isEmpty();
		}

		private PromptEvidence evidence(long part) {
			return new PromptEvidence(part, this.answered, this.blocked, this.ends, this.clearedEnds);
		}

	}

}
