package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Parts of prompts under which endpoints end one after the other. Requests with such a
 * part are blocked at all gateways, which exchange their evidence and decide by the same
 * rules.
 */
public final class PromptBlocklist {

	/** Maximum number of answered parts that are remembered. */
	private static final int MAXIMUM_ANSWERED = 4_096;

	/** Time for which an end that has not led to a block is kept. */
	private static final long EVIDENCE_LIFETIME_MILLIS = 300_000;

	private final String gateway;

	private final LinkedHashSet<Long> answeredParts = new LinkedHashSet<>();

	private final OwnPromptEvidence own;

	private final Map<String, List<PromptEvidence>> others = new HashMap<>();

	private Set<String> gateways;

	private Map<Long, PromptSuspicion> suspicions = Map.of();

	private final Map<Long, PromptBlock> blocks = new HashMap<>();

	/**
	 * Creates an empty list.
	 * @param gateway name of this gateway
	 * @param startedAt monotonic time of its start, in milliseconds
	 */
	public PromptBlocklist(String gateway, long startedAt) {
		this.gateway = gateway;
		this.own = new OwnPromptEvidence(startedAt);
		this.gateways = Set.of(gateway);
	}

	/**
	 * Returns the hash by which a part is exchanged.
	 * @param segment the part
	 * @return hash of its id
	 */
	public static long part(PromptSegment segment) {
		return RendezvousHash.hash(segment.id());
	}

	// The last part belongs to the request itself or to its session.
	private static List<Long> sharedParts(List<PromptSegment> prompt) {
		List<Long> parts = new ArrayList<>();
		for (int index = 0; index < prompt.size() - 1; index++) {
			parts.add(part(prompt.get(index)));
		}
		return parts;
	}

	/**
	 * Records that an endpoint ended while an unanswered request was on it.
	 * @param end identifies the process of the endpoint, the same at all gateways
	 * @param prompt parts of the request's prompt
	 * @param now monotonic time, in milliseconds
	 */
	public void recordEnd(long end, List<PromptSegment> prompt, long now) {
		for (long part : sharedParts(prompt)) {
			this.own.addEnd(part, end, this.answeredParts.contains(part), now);
		}
		merge(now);
	}

	/**
	 * Records a complete answer of an engine, which clears the parts of the request.
	 * @param prompt parts of the request's prompt
	 * @param now monotonic time, in milliseconds
	 */
	public void recordAnswer(List<PromptSegment> prompt, long now) {
		boolean cleared = false;
		for (long part : sharedParts(prompt)) {
			this.answeredParts.remove(part);
			this.answeredParts.add(part);
			PromptSuspicion suspicion = this.suspicions.get(part);
			if (suspicion != null && !suspicion.openEnds().isEmpty()) {
				this.own.clear(part, suspicion.ends());
				cleared = true;
			}
		}
		while (this.answeredParts.size() > MAXIMUM_ANSWERED) {
			Iterator<Long> eldest = this.answeredParts.iterator();
			eldest.next();
			eldest.remove();
		}
		if (cleared) {
			merge(now);
		}
	}

	/**
	 * Replaces the evidence of another gateway, or restores that of this one before it
	 * has any.
	 * @param name name of the gateway
	 * @param evidence what it knows, empty if nothing
	 * @param now monotonic time, in milliseconds
	 */
	public void update(String name, List<PromptEvidence> evidence, long now) {
		if (name.equals(this.gateway)) {
			this.own.restore(evidence);
		}
		else if (evidence.isEmpty()) {
			this.others.remove(name);
		}
		else {
			this.others.put(name, List.copyOf(evidence));
		}
		merge(now);
	}

	/**
	 * Sets the gateways that are alive. The evidence of others does not count.
	 * @param names names of the other gateways
	 * @param now monotonic time, in milliseconds
	 */
	public void setOthers(Collection<String> names, long now) {
		Set<String> live = new HashSet<>(names);
		live.add(this.gateway);
		this.gateways = Set.copyOf(live);
		if (!this.others.isEmpty() || !isEmpty()) {
			merge(now);
		}
	}

	/**
	 * Removes the evidence of other gateways that have no row any more.
	 * @param names names of the gateways that have one
	 * @param now monotonic time, in milliseconds
	 */
	public void retainEvidence(Collection<String> names, long now) {
		if (this.others.keySet().retainAll(names)) {
			merge(now);
		}
	}

	/**
	 * Returns whether there is any evidence.
	 * @return {@code true} if no endpoint ended lately
	 */
	public boolean isEmpty() {
		return this.suspicions.isEmpty();
	}

	/**
	 * Returns the parts that are blocked.
	 * @return their hashes
	 */
	public Set<Long> blockedParts() {
		return Set.copyOf(this.blocks.keySet());
	}

	/**
	 * Returns the blocked part of a request.
	 * @param prompt parts of the request's prompt
	 * @return the first one, or {@code null} if none is blocked
	 */
	public @Nullable PromptSegment blockedPart(List<PromptSegment> prompt) {
		if (this.blocks.isEmpty()) {
			return null;
		}
		for (int index = 0; index < prompt.size() - 1; index++) {
			if (this.blocks.containsKey(part(prompt.get(index)))) {
				return prompt.get(index);
			}
		}
		return null;
	}

	/**
	 * Returns whether a request may be sent to learn whether its blocked parts still
	 * crash endpoints, and counts it as sent.
	 * @param prompt parts of the request's prompt
	 * @param now monotonic time, in milliseconds
	 * @return whether it is the turn of this gateway for all its blocked parts
	 */
	public boolean tryAgain(List<PromptSegment> prompt, long now) {
		List<Long> blocked = sharedParts(prompt).stream().filter(this.blocks::containsKey).toList();
		if (!blocked.stream().allMatch((part) -> isOwnTurn(part, now))) {
			return false;
		}
		for (long part : blocked) {
			PromptBlock block = this.blocks.get(part);
			if (block != null) {
				block.useTry(now);
			}
		}
		return !blocked.isEmpty();
	}

	private boolean isOwnTurn(long part, long now) {
		PromptBlock block = this.blocks.get(part);
		PromptSuspicion suspicion = this.suspicions.get(part);
		return block != null && suspicion != null && block.isTryLeft(now)
				&& suspicion.prober(block.triesDue(now) - 1, this.gateways).equals(this.gateway);
	}

	/**
	 * Returns the time until a blocked part is tried again.
	 * @param segment the part
	 * @param now monotonic time, in milliseconds
	 * @return milliseconds, zero if it is not blocked
	 */
	public long retryAfterMillis(PromptSegment segment, long now) {
		PromptBlock block = this.blocks.get(part(segment));
		return (block != null) ? block.retryAfterMillis(now) : 0;
	}

	/**
	 * Returns the evidence of this gateway that the others need.
	 * @param now monotonic time, in milliseconds
	 * @return the evidence, empty if there is none
	 */
	public List<PromptEvidence> ownEvidence(long now) {
		if (this.own.expire(now - EVIDENCE_LIFETIME_MILLIS, this.blocks.keySet())) {
			merge(now);
		}
		return this.own.published(now);
	}

	private void merge(long now) {
		this.suspicions = mergeEvidence();
		Set<Long> blocked = decide();
		this.blocks.keySet().retainAll(blocked);
		blocked.forEach((part) -> this.blocks.computeIfAbsent(part, (absent) -> new PromptBlock(now)));
		this.own.setBlocked(blocked);
		if (this.own.discardCleared(this.suspicions)) {
			this.suspicions = mergeEvidence();
		}
	}

	private Map<Long, PromptSuspicion> mergeEvidence() {
		Map<Long, PromptSuspicion> merged = new HashMap<>();
		addEvidence(merged, this.gateway, this.own.all());
		this.others.forEach((name, evidence) -> {
			if (this.gateways.contains(name)) {
				addEvidence(merged, name, evidence);
			}
		});
		return merged;
	}

	private static void addEvidence(Map<Long, PromptSuspicion> merged, String name, List<PromptEvidence> evidence) {
		for (PromptEvidence item : evidence) {
			merged.computeIfAbsent(item.part(), PromptSuspicion::new).add(name, item);
		}
	}

	private Set<Long> decide() {
		Set<Long> blocked = new HashSet<>();
		Set<Long> explained = new HashSet<>();
		List<PromptSuspicion> candidates = new ArrayList<>();
		for (PromptSuspicion suspicion : this.suspicions.values()) {
			if (suspicion.isDeclaredBlocked()) {
				blocked.add(suspicion.part());
				explained.addAll(suspicion.openEnds());
			}
			else if (!suspicion.openEnds().isEmpty()) {
				candidates.add(suspicion);
			}
		}
		// The part with the most ends is judged first and the answered ones last. A part
		// whose ends are all those of blocked parts is taken for a bystander.
		candidates.sort(Comparator.comparing(PromptSuspicion::wasAnswered)
			.thenComparing((suspicion) -> -suspicion.openEnds().size())
			.thenComparing(PromptSuspicion::part));
		for (PromptSuspicion candidate : candidates) {
			if (!explained.containsAll(candidate.openEnds()) && candidate.isCause(candidates)) {
				blocked.add(candidate.part());
				explained.addAll(candidate.openEnds());
			}
		}
		return blocked;
	}

}
