package org.magnoliahub.serving;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The evidence of all gateways about one part of prompts.
 */
final class PromptSuspicion {

	/**
	 * Ends that block a part which has never been answered, if no other part has as many.
	 */
	private static final int MINIMUM_ENDS = 3;

	/** Ends that block a part which has never been answered. */
	private static final int CERTAIN_ENDS = 4;

	/** Moments with ends that block a part which was answered before. */
	private static final int ANSWERED_PART_MOMENTS = 5;

	/** Moments with ends that block any part. */
	private static final int MINIMUM_MOMENTS = 2;

	/** Ends that follow each other faster may have one cause, such as a loss of power. */
	private static final long MOMENT_MILLIS = 400;

	private final long part;

	private final Set<String> accusers = new HashSet<>();

	/** Ends, each with the time of the first notice. */
	private final Map<Long, Long> ends = new HashMap<>();

	private final Set<Long> clearedEnds = new HashSet<>();

	private boolean answered;

	private boolean blocked;

	PromptSuspicion(long part) {
		this.part = part;
	}

	void add(String gateway, PromptEvidence evidence) {
		if (!evidence.ends().isEmpty()) {
			this.accusers.add(gateway);
		}
		evidence.ends().forEach((end, time) -> this.ends.merge(end, time, Math::min));
		this.clearedEnds.addAll(evidence.clearedEnds());
		this.answered |= evidence.answered();
		this.blocked |= evidence.blocked();
	}

	long part() {
		return this.part;
	}

	Set<Long> ends() {
		return this.ends.keySet();
	}

	Set<Long> clearedEnds() {
		return this.clearedEnds;
	}

	/**
	 * Returns the ends after which no request with the part has been answered.
	 * @return the ends
	 */
	Set<Long> openEnds() {
		Set<Long> open = new HashSet<>(this.ends.keySet());
		open.removeAll(this.clearedEnds);
		return open;
	}

	/**
	 * Returns whether a gateway has decided to block the part, and nothing has cleared
	 * it.
	 * @return whether the part is blocked whatever this gateway knows of the moments
	 */
	boolean isDeclaredBlocked() {
		return this.blocked && !openEnds().isEmpty();
	}

	/**
	 * Returns whether the part is to be blocked.
	 * @param rivals other parts that are not blocked
	 * @return whether the part is the cause of its open ends
	 */
	boolean isCause(Collection<PromptSuspicion> rivals) {
		Set<Long> open = openEnds();
		int moments = moments(open);
		if (this.answered) {
			return moments >= ANSWERED_PART_MOMENTS;
		}
		if (moments < MINIMUM_MOMENTS || open.size() < MINIMUM_ENDS) {
			return false;
		}
		return open.size() >= CERTAIN_ENDS || rivals.stream().noneMatch((rival) -> rival.isRivalOf(this, open));
	}

	private boolean isRivalOf(PromptSuspicion other, Set<Long> open) {
		return this != other && !this.answered && openEnds().containsAll(open);
	}

	boolean wasAnswered() {
		return this.answered;
	}

	private int moments(Set<Long> open) {
		List<Long> times = open.stream().map((end) -> this.ends.getOrDefault(end, 0L)).sorted().toList();
		int moments = 0;
		long last = Long.MIN_VALUE / 2;
		for (long time : times) {
			if (time - last > MOMENT_MILLIS) {
				moments++;
				last = time;
			}
		}
		return moments;
	}

	/**
	 * Returns the gateway whose turn it is to try the part again.
	 * @param turn number of the try, from zero
	 * @param gateways names of the live gateways
	 * @return name of a gateway that accuses the part, or of any if all those are gone
	 */
	String prober(int turn, Set<String> gateways) {
		Set<String> live = new HashSet<>(this.accusers);
		live.retainAll(gateways);
		List<String> ranked = RendezvousHash.rank(Long.toHexString(this.part), live.isEmpty() ? gateways : live);
		return ranked.isEmpty() ? "" : ranked.get(turn % ranked.size());
	}

}
