package org.magnoliahub.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.emulator.CallerAnswer;

/**
 * Checks that a request that a gateway has read gets a complete answer. At any time few
 * connections may be closed without an answer to a request that was passed on; around
 * planned work none may be cut while nothing is disturbed.
 */
final class CompleteAnswerCheck {

	/** So many requests may end without an answer at any time. */
	private static final int TOLERATED = 3;

	/**
	 * A request that was read and not passed on may be cut this long after it was sent.
	 */
	private static final long CROSSING_MILLIS = 200;

	private static final long AFTER_WORK_MILLIS = 1_000;

	/**
	 * Requests sent later than this after the signal have time to end before the grace.
	 */
	private static final long SENT_AFTER_STOP_MILLIS = 3_000;

	private static final long LAST_SIXTH_MILLIS = GatewayFaults.GRACE_MILLIS * 5 / 6;

	private static final double LONG_USED_SHARE = 0.7;

	private final Ledger ledger;

	private final PlannedWork work;

	private final Set<String> read;

	/**
	 * Creates a check of a run that has ended.
	 * @param ledger its stories
	 * @param work its planned work at gateways
	 * @param read ids of the requests that gateways have read for certain
	 */
	CompleteAnswerCheck(Ledger ledger, PlannedWork work, Set<String> read) {
		this.ledger = ledger;
		this.work = work;
		this.read = Set.copyOf(read);
	}

	/**
	 * Checks the run.
	 * @return what was broken
	 */
	List<Finding> check() {
		List<Finding> findings = new ArrayList<>();
		List<RequestStory> closed = this.ledger.stories().stream().filter(this::isClosedInTouch).toList();
		if (closed.size() > TOLERATED) {
			closed.forEach((story) -> findings
				.add(finding(closed.size() + " requests passed on and closed without an answer: ", story)));
		}
		this.ledger.stories()
			.stream()
			.filter(this::isCutAroundPlannedWork)
			.forEach((story) -> findings.add(finding("cut around planned work: ", story)));
		return findings;
	}

	private static Finding finding(String what, RequestStory story) {
		return new Finding(Finding.Promise.COMPLETE_ANSWER, what + story);
	}

	private boolean isClosedInTouch(RequestStory story) {
		CallerAnswer answer = story.answer();
		return answer != null && answer.status() == 0 && !story.isAbandoned() && !story.arrivals().isEmpty()
				&& this.ledger.disturbances().isCalm(story.gateway(), story.sentMillis(), story.endedMillis())
				&& hasSoundEndpoints(story);
	}

	private boolean hasSoundEndpoints(RequestStory story) {
		return story.arrivals()
			.stream()
			.allMatch((arrival) -> this.ledger.disturbances()
				.isEndpointSound(arrival.request().endpoint(), story.sentMillis(), story.endedMillis()));
	}

	private boolean isCutAroundPlannedWork(RequestStory story) {
		return isCut(story) && wasReadInTime(story) && isAroundPlannedWork(story)
				&& this.ledger.disturbances().isUndisturbed(story.sentMillis(), story.endedMillis());
	}

	private static boolean isCut(RequestStory story) {
		CallerAnswer answer = story.answer();
		boolean timeLeft = story.endedMillis() < story.sentMillis() + story.kind().timeoutMillis();
		return !story.isAbandoned() && timeLeft && isIncomplete(answer);
	}

	private static boolean isIncomplete(@Nullable CallerAnswer answer) {
		return answer != null && !answer.complete();
	}

	private boolean wasReadInTime(RequestStory story) {
		if (!story.arrivals().isEmpty() || !story.runs().isEmpty()) {
			return true;
		}
		boolean late = story.endedMillis() - CROSSING_MILLIS > story.writtenMillis();
		return late && this.read.contains(story.request().id());
	}

	private boolean isAroundPlannedWork(RequestStory story) {
		return this.work.stops().stream().anyMatch((stop) -> isAround(story, stop))
				|| this.work.reloads().stream().anyMatch((reload) -> isAround(story, reload))
				|| this.ledger.configurations()
					.versions()
					.versions()
					.stream()
					.anyMatch((version) -> isAround(story, version));
	}

	private static boolean isAround(RequestStory story, PlannedWork.Stop stop) {
		long end = stop.begunMillis() + GatewayFaults.GRACE_MILLIS + AFTER_WORK_MILLIS;
		return story.gateway() == stop.gateway() && story.endedMillis() >= stop.begunMillis()
				&& story.endedMillis() <= end && !isAtWorkAtTheEnd(story, stop);
	}

	private static boolean isAtWorkAtTheEnd(RequestStory story, PlannedWork.Stop stop) {
		long lastSixth = stop.begunMillis() + LAST_SIXTH_MILLIS;
		return story.endedMillis() >= lastSixth && story.sentMillis() <= stop.begunMillis() + SENT_AFTER_STOP_MILLIS
				&& story.runs().stream().anyMatch((run) -> run.endedMillis() >= lastSixth);
	}

	private static boolean isAround(RequestStory story, PlannedWork.Reload reload) {
		return story.gateway() == reload.gateway() && story.endedMillis() >= reload.millis()
				&& story.sentMillis() <= reload.millis() + ConfigurationCheck.IN_FORCE_MILLIS;
	}

	private static boolean isAround(RequestStory story, ConfigurationVersions.Version version) {
		long end = version.acceptedMillis() + ConfigurationCheck.IN_FORCE_MILLIS + AFTER_WORK_MILLIS;
		double used = story.endedMillis() - story.sentMillis();
		return story.endedMillis() >= version.begunMillis() && story.endedMillis() <= end
				&& used < LONG_USED_SHARE * story.kind().timeoutMillis();
	}

}
