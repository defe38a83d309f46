package org.magnoliahub.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.emulator.CallerAnswer;

/**
 * Checks that endpoints of an evacuated zone get no requests and no pieces of stages, and
 * that no request is lost for an evacuation.
 * <p>
 * A gateway must comply from the first moment after the bound at which it is in touch
 * with the store, and from then on also when it loses the store, until the removal of the
 * row. If a restored store has lost the row before that moment, the bound counts from the
 * time at which the row was written again.
 */
final class EvacuationCheck {

	/** Time from the acknowledgement of the row until the zone must get nothing. */
	static final long BOUND_MILLIS = 5_000;

	private static final double LONG_USED_SHARE = 0.7;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	private final Ledger ledger;

	private final EvacuationHistory history;

	private final Disturbances disturbances;

	private final PlannedWork work;

	private final Set<String> read;

	private final List<Finding> findings = new ArrayList<>();

	/**
	 * Creates a check of a run that has ended.
	 * @param ledger its stories
	 * @param work its planned work at gateways
	 * @param read ids of the requests that gateways have read for certain
	 */
	EvacuationCheck(Ledger ledger, PlannedWork work, Set<String> read) {
		this.ledger = ledger;
		this.history = ledger.evacuations();
		this.disturbances = ledger.disturbances();
		this.work = work;
		this.read = Set.copyOf(read);
	}

	/**
	 * Checks the run.
	 * @return what was broken
	 */
	List<Finding> check() {
		for (Evacuation evacuation : this.history.evacuations()) {
			this.ledger.stories().forEach((story) -> check(story, evacuation));
			checkStageCalls(evacuation);
		}
		return this.findings;
	}

	private void add(Object what, Evacuation evacuation) {
		this.findings.add(new Finding(Finding.Promise.EVACUATION, what + ", " + evacuation));
	}

	private void check(RequestStory story, Evacuation evacuation) {
		for (RequestStory.Arrival arrival : story.arrivals()) {
			if (this.history.isIn(evacuation.zone(), arrival.request().endpoint())
					&& !this.history.isMisdirected(arrival.request())
					&& isForbidden(evacuation, arrival.millis(), List.of(story.gateway()))) {
				add(story + ": " + arrival, evacuation);
			}
		}
		if (isOpenDuring(story, evacuation) && isLost(story)) {
			add("lost: " + story, evacuation);
		}
	}

	// Any gateway may own the queue of a stage.
	private void checkStageCalls(Evacuation evacuation) {
		List<Integer> gateways = this.ledger.stories().stream().map(RequestStory::gateway).distinct().toList();
		this.history.stageCalls()
			.stream()
			.filter((call) -> this.history.isIn(evacuation.zone(), call.endpoint()))
			.filter((call) -> isForbidden(evacuation, call.millis(), gateways))
			.forEach((call) -> add(call, evacuation));
	}

	private boolean isForbidden(Evacuation evacuation, long moment, List<Integer> gateways) {
		return moment < evacuation.removedMillis() && gateways.stream()
			.allMatch((gateway) -> moment > dueMillis(evacuation, gateway, this.history.startBefore(gateway, moment)));
	}

	/**
	 * Returns when a process must have read the row.
	 * @param evacuation the evacuation
	 * @param gateway index of the gateway
	 * @param start start of its process
	 * @return the time, or the largest value if the row was not there long enough
	 */
	private long dueMillis(Evacuation evacuation, int gateway, long start) {
		List<Long> written = List.copyOf(evacuation.writtenMillis());
		for (int index = 0; index < written.size(); index++) {
			long from = Math.max(written.get(index) + BOUND_MILLIS, start);
			long due = this.disturbances.firstInTouch(gateway, from, ConfigurationCheck.SLACK_MILLIS);
			if (index == written.size() - 1 || due < written.get(index + 1)) {
				return due;
			}
		}
		return Long.MAX_VALUE;
	}

	private static boolean isOpenDuring(RequestStory story, Evacuation evacuation) {
		return story.sentMillis() <= evacuation.removedMillis() && story.endedMillis() >= evacuation.begunMillis();
	}

	private boolean isLost(RequestStory story) {
		double used = story.endedMillis() - story.sentMillis();
		return !story.isAbandoned() && !story.isCrashing() && hasFailed(story.answer())
				&& used < LONG_USED_SHARE * story.kind().timeoutMillis()
				&& (!story.arrivals().isEmpty() || this.read.contains(story.request().id())) && isUnexcused(story)
				&& this.work.stops().stream().noneMatch((stop) -> meets(story, stop));
	}

	private static boolean hasFailed(@Nullable CallerAnswer answer) {
		return answer != null
				&& (!answer.complete() || answer.status() == BAD_GATEWAY || answer.status() == GATEWAY_TIMEOUT);
	}

	// Endpoints of stages are not known, so a request with stages counts only while
	// nothing is disturbed.
	private boolean isUnexcused(RequestStory story) {
		long from = story.sentMillis();
		long to = story.endedMillis();
		boolean sound = story.arrivals()
			.stream()
			.allMatch((arrival) -> this.disturbances.isEndpointSound(arrival.request().endpoint(), from, to));
		boolean known = !story.arrivals().isEmpty() && story.kind() != RequestKind.STAGED;
		return sound && (known ? this.disturbances.isCalm(story.gateway(), from, to)
				: this.disturbances.isUndisturbed(from, to));
	}

	private static boolean meets(RequestStory story, PlannedWork.Stop stop) {
		return story.gateway() == stop.gateway() && story.sentMillis() <= stop.endedMillis()
				&& story.endedMillis() >= stop.begunMillis();
	}

}
