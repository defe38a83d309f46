package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

/**
 * Decides when the stages of a request start, under bursts that exceed what the stage
 * endpoints can do.
 * <p>
 * A request that can meet its latency objective starts at once. Others wait here, where
 * they hold no results, and start when the queues of the stages are short. Started
 * together, all requests would be late, and results would expire before they are used.
 */
public final class StartGate {

	/** Queues with less wait than this take any request. */
	private static final long SHORT_WAIT_MILLIS = 250;

	private final List<Entry> waiting = new ArrayList<>();

	/**
	 * Offers a request.
	 * @param request the request
	 * @param now monotonic time, in milliseconds
	 * @return whether it starts now, waits, or is refused because its turn would come
	 * after its caller has left
	 */
	public Decision offer(Entry request, long now) {
		long wait = request.waitMillis().getAsLong();
		if (wait <= SHORT_WAIT_MILLIS || now + wait + request.chainMillis() <= request.objectiveAt()) {
			return Decision.START;
		}
		if (now + request.chainMillis() > request.expiresAt()) {
			return Decision.REFUSE;
		}
		this.waiting.add(request);
		return Decision.WAIT;
	}

	/**
	 * Takes out the requests that could not be done any more before their callers leave.
	 * @param now monotonic time, in milliseconds
	 * @return the requests
	 */
	public List<Entry> removeExpired(long now) {
		List<Entry> expired = this.waiting.stream()
			.filter((request) -> now + request.chainMillis() > request.expiresAt())
			.toList();
		this.waiting.removeAll(expired);
		return expired;
	}

	/**
	 * Takes a request out, because it ended.
	 * @param request the request
	 */
	public void remove(Entry request) {
		this.waiting.remove(request);
	}

	/**
	 * Takes the next request that starts now: the most urgent rank first, then the one
	 * that has waited longest.
	 * @return the request, or {@code null} if none starts
	 */
	public @Nullable Entry next() {
		Entry best = this.waiting.stream()
			.filter((request) -> request.waitMillis().getAsLong() <= SHORT_WAIT_MILLIS)
			.min(Comparator.comparingInt(Entry::priority).thenComparingLong(Entry::objectiveAt))
			.orElse(null);
		if (best != null) {
			this.waiting.remove(best);
		}
		return best;
	}

	/**
	 * Returns the number of requests that wait.
	 * @return requests
	 */
	public int size() {
		return this.waiting.size();
	}

	/**
	 * What becomes of a request.
	 */
	public enum Decision {

		/** Its stages start now. */
		START,

		/** It waits until queues are short. */
		WAIT,

		/** It is refused. */
		REFUSE

	}

	/**
	 * A request whose stages have not started.
	 *
	 * @param waitMillis gives the wait in the queues of its stages at present
	 * @param chainMillis time of its stages without waits, in milliseconds
	 * @param objectiveAt monotonic time of its latency objective, in milliseconds
	 * @param expiresAt monotonic time at which its caller leaves, in milliseconds
	 * @param priority rank of its route, zero is the most urgent
	 * @param start starts its stages
	 * @param refuse refuses it
	 */
	public record Entry(LongSupplier waitMillis, long chainMillis, long objectiveAt, long expiresAt, int priority,
			Runnable start, Runnable refuse) {
	}

}
