package org.magnoliahub.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedRequest;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.EmulatedWork;
import org.magnoliahub.platform.emulator.EndpointRequest;
import org.magnoliahub.soak.Finding.Promise;

/**
 * Checks the stories of a run against what the system promises.
 */
final class PromiseChecks {

	private static final long DRAIN_MILLIS = 2_000;

	/** Room for the checks' own view of time on a busy machine. */
	private static final long SLACK_MILLIS = 1_000;

	private static final long CANCEL_MILLIS = 500;

	/** Time from the answer in which requests may still be on their way. */
	private static final long PAUSE_HEEDED_MILLIS = 500;

	private static final int PAUSE_TOLERATED = 2;

	private static final long REPEAT_WINDOW_MILLIS = 10_000;

	private static final double RECOVERED_SHARE = 0.9;

	/** So many requests may miss a promise that is about shares, not about each one. */
	private static final int TOLERATED = 3;

	private static final int OK = 200;

	private final Ledger ledger;

	private final EmulatedSettings.Budget budget;

	private final List<Finding> findings = new ArrayList<>();

	private PromiseChecks(Ledger ledger, EmulatedSettings.Budget budget) {
		this.ledger = ledger;
		this.budget = budget;
	}

	/**
	 * Checks a run that has ended.
	 * @param ledger its stories
	 * @param budget repeats of all gateways
	 * @param work its planned work at gateways
	 * @param read ids of the requests that gateways have read
	 * @param recovery span after the last fault in which requests must be served
	 * @return what was broken
	 */
	static List<Finding> check(Ledger ledger, EmulatedSettings.Budget budget, PlannedWork work, Set<String> read,
			Recovery recovery) {
		PromiseChecks checks = new PromiseChecks(ledger, budget);
		checks.findings.addAll(ledger.found());
		ledger.stories().forEach(checks::checkStory);
		checks.checkShares();
		checks.checkDraining(ledger.drainedSince(), List.of());
		// A process that has started since knows only the late row.
		checks.checkDraining(ledger.removedSince(), work.stops());
		checks.checkNotices();
		checks.findings.addAll(RequestRateCheck.check(ledger));
		checks.findings.addAll(CrashingPromptCheck.check(ledger));
		checks.findings.addAll(ledger.configurations().check(ledger.disturbances()));
		checks.checkBudget("plain");
		checks.checkBudget("model");
		checks.checkStops(work.stops());
		checks.findings.addAll(new CompleteAnswerCheck(ledger, work, read).check());
		checks.findings.addAll(new EvacuationCheck(ledger, work, read).check());
		checks.checkRecovery(recovery);
		return checks.findings;
	}

	private void add(Promise promise, Object detail) {
		this.findings.add(new Finding(promise, detail.toString()));
	}

	private void checkStory(RequestStory story) {
		if (!story.kind().isRepeatable() && story.runs().size() > 1) {
			add(Promise.AT_MOST_ONCE, story);
		}
		if (!story.kind().isRepeatable() && story.isRefused() && !story.runs().isEmpty()) {
			add(Promise.TRUTHFUL_REFUSAL, story);
		}
		for (RequestStory.Arrival arrival : story.arrivals()) {
			if (!isUnchanged(story.request(), arrival.request())) {
				add(Promise.UNCHANGED_REQUEST, story + ": " + arrival);
			}
			if (!hasOwnInputs(story, arrival.request())) {
				add(Promise.OWN_ANSWER, story + ": inputs " + arrival.request().inputs());
			}
		}
		if (story.isDenied() && !story.isProbe()) {
			add(Promise.PROPER_REQUEST_ADMITTED, story);
		}
		CallerAnswer answer = story.answer();
		if (answer != null && answer.status() == OK) {
			checkAnswer(story, answer);
		}
	}

	private static boolean isUnchanged(EmulatedRequest sent, EndpointRequest got) {
		String body = sent.method().equals("POST") ? EmulatedRequest.BODY : "";
		return got.method().equals(sent.method()) && got.target().equals(sent.target()) && got.body().equals(body)
				&& got.workspace().equals(EmulatedSettings.WORKSPACE);
	}

	private static boolean hasOwnInputs(RequestStory story, EndpointRequest request) {
		String mark = "/" + story.request().id() + "-";
		int wanted = (story.kind() == RequestKind.STAGED) ? RequestKind.PIECES : 0;
		return new HashSet<>(request.inputs()).size() == wanted && request.inputs().size() == wanted
				&& request.inputs().stream().allMatch((input) -> input.contains(mark));
	}

	private void checkAnswer(RequestStory story, CallerAnswer answer) {
		RequestStory.Run run = story.runs()
			.stream()
			.filter((known) -> known.run().signature().equals(answer.signature()))
			.findFirst()
			.orElse(null);
		if (run == null || !answer.requestId().equals(story.request().id())) {
			add(Promise.OWN_ANSWER, story + ": signature " + answer.signature() + " for " + answer.requestId());
			return;
		}
		if (story.kind().isStream()) {
			checkStream(story, answer);
		}
		else if (answer.complete() && !answer.body().equals(run.run().body())) {
			add(Promise.OWN_ANSWER, story + ": " + answer.body());
		}
	}

	private void checkStream(RequestStory story, CallerAnswer answer) {
		String id = story.request().id();
		StringBuilder whole = new StringBuilder();
		for (int number = 1; number <= EmulatedWork.eventCount(id); number++) {
			whole.append(EmulatedWork.event(id, number));
		}
		boolean sound = answer.complete() ? whole.toString().equals(answer.body())
				: whole.toString().startsWith(answer.body());
		if (!sound) {
			add(Promise.STREAM_ORDER, story + ": " + answer.body().replace("\n", "|"));
		}
	}

	private void checkShares() {
		addIfMany(Promise.ATTEMPTS, (story) -> !story.isCrashing() && story.runs().size() > story.kind().attempts(),
				TOLERATED);
		addIfMany(Promise.ANSWER_IN_TIME, this::isLate, TOLERATED);
		List<RequestStory> left = this.ledger.stories().stream().filter(this::wouldGoOn).toList();
		addIfMany(Promise.CANCELLATION, (story) -> wouldGoOn(story) && wentOn(story),
				Math.max(TOLERATED, left.size() / 4));
	}

	private void addIfMany(Promise promise, Predicate<RequestStory> broken, int tolerated) {
		List<RequestStory> found = this.ledger.stories().stream().filter(broken).toList();
		if (found.size() > tolerated) {
			add(promise, found.size() + " requests, first " + found.get(0));
		}
	}

	private boolean isLate(RequestStory story) {
		long due = story.sentMillis() + story.kind().timeoutMillis() + CANCEL_MILLIS + SLACK_MILLIS;
		return story.endedMillis() > due && this.ledger.disturbances().isCalm(story.gateway(), story.sentMillis(), due);
	}

	// Endpoints may finish what may run only once.
	private boolean wouldGoOn(RequestStory story) {
		if (!story.isAbandoned() || story.kind() == RequestKind.ORDER || story.runs().isEmpty()) {
			return false;
		}
		long until = story.endedMillis() + CANCEL_MILLIS;
		RequestStory.Run first = story.runs().get(0);
		long expected = EmulatedWork.expectedMillis(story.request().id(), story.kind().isStream());
		return first.startedMillis() < story.endedMillis() && first.startedMillis() + expected > until
				&& this.ledger.disturbances().isUndisturbed(story.sentMillis(), until);
	}

	private boolean wentOn(RequestStory story) {
		return story.runs().stream().anyMatch((run) -> run.endedMillis() > story.endedMillis() + CANCEL_MILLIS);
	}

	private void checkDraining(Map<String, Long> gone, List<PlannedWork.Stop> restarts) {
		for (RequestStory story : this.ledger.stories()) {
			for (RequestStory.Arrival arrival : story.arrivals()) {
				Long since = gone.get(arrival.request().endpoint());
				if (since != null && arrival.millis() > since + DRAIN_MILLIS + SLACK_MILLIS
						&& restarts.stream().noneMatch((stop) -> isBetween(stop, story.gateway(), since, arrival))
						&& this.ledger.disturbances().isCalm(story.gateway(), since, arrival.millis())) {
					add(Promise.DRAINING, story + ": " + arrival + ", gone since " + since);
				}
			}
		}
	}

	private static boolean isBetween(PlannedWork.Stop stop, int gateway, long since, RequestStory.Arrival arrival) {
		return stop.gateway() == gateway && stop.endedMillis() > since && stop.endedMillis() < arrival.millis();
	}

	private void checkNotices() {
		Map<String, Long> leaving = new HashMap<>();
		for (Ledger.Notice notice : this.ledger.notices()) {
			if (notice.pauseMillis() > 0) {
				checkPause(notice);
			}
			else if (leaving.putIfAbsent(notice.endpoint() + "/" + notice.gateway(), notice.millis()) == null) {
				checkLeaving(notice);
			}
		}
	}

	private void checkLeaving(Ledger.Notice notice) {
		for (RequestStory story : stories(notice)) {
			for (RequestStory.Arrival arrival : arrivals(story, notice)) {
				if (story.sentMillis() > notice.millis() + DRAIN_MILLIS
						&& this.ledger.disturbances().isCalm(story.gateway(), notice.millis(), arrival.millis())) {
					add(Promise.LEAVING, story + ": " + arrival + ", told at " + notice.millis());
				}
			}
		}
	}

	private void checkPause(Ledger.Notice notice) {
		long from = notice.millis() + PAUSE_HEEDED_MILLIS;
		long until = notice.millis() + notice.pauseMillis();
		if (!this.ledger.disturbances().isCalm(notice.gateway(), notice.millis(), until)
				|| !this.ledger.disturbances().isLinkCalm(notice.endpoint(), notice.millis(), until)) {
			return;
		}
		long count = stories(notice).stream()
			.flatMap((story) -> arrivals(story, notice).stream())
			.filter((arrival) -> arrival.millis() > from && arrival.millis() < until)
			.count();
		if (count > PAUSE_TOLERATED) {
			add(Promise.PAUSE, notice + ": " + count + " requests until " + until);
		}
	}

	private List<RequestStory> stories(Ledger.Notice notice) {
		return this.ledger.stories().stream().filter((story) -> story.gateway() == notice.gateway()).toList();
	}

	private static List<RequestStory.Arrival> arrivals(RequestStory story, Ledger.Notice notice) {
		return story.arrivals()
			.stream()
			.filter((arrival) -> arrival.request().endpoint().equals(notice.endpoint()))
			.toList();
	}

	private void checkBudget(String service) {
		List<Long> requests = new ArrayList<>();
		List<Long> repeats = new ArrayList<>();
		for (RequestStory story : this.ledger.stories()) {
			if (story.kind().service().equals(service)) {
				requests.add(story.sentMillis());
				story.arrivals().stream().skip(1).forEach((arrival) -> repeats.add(arrival.millis()));
			}
		}
		repeats.sort(Comparator.naturalOrder());
		for (long start : repeats) {
			long count = count(repeats, start);
			long base = Math.max(count(requests, start), Math.max(count(requests, start - REPEAT_WINDOW_MILLIS),
					count(requests, start - REPEAT_WINDOW_MILLIS / 2)));
			double allowed = this.budget.ratio() * base + this.budget.constant();
			if (count > allowed) {
				add(Promise.REPEAT_BUDGET,
						service + " got " + count + " repeats from " + start + " on, allowed " + allowed);
				return;
			}
		}
	}

	private static long count(List<Long> times, long start) {
		return times.stream().filter((time) -> time >= start && time < start + REPEAT_WINDOW_MILLIS).count();
	}

	private void checkStops(List<PlannedWork.Stop> stops) {
		Set<RequestStory> cut = new HashSet<>();
		for (PlannedWork.Stop stop : stops) {
			for (RequestStory story : this.ledger.stories()) {
				boolean during = story.gateway() == stop.gateway() && story.endedMillis() >= stop.begunMillis()
						&& story.sentMillis() <= stop.endedMillis();
				if (during && wasCut(story)
						&& this.ledger.disturbances().isUndisturbed(story.sentMillis(), story.endedMillis())) {
					cut.add(story);
				}
			}
		}
		cut.forEach((story) -> add(Promise.PLANNED_STOP, story));
	}

	private static boolean wasCut(RequestStory story) {
		CallerAnswer answer = story.answer();
		return isCut(answer) && !story.isAbandoned() && !story.runs().isEmpty();
	}

	private static boolean isCut(@Nullable CallerAnswer answer) {
		return answer == null || !answer.complete();
	}

	private void checkRecovery(Recovery recovery) {
		List<RequestStory> stories = this.ledger.stories()
			.stream()
			.filter((story) -> story.sentMillis() >= recovery.fromMillis() && story.sentMillis() < recovery.toMillis())
			.filter((story) -> !story.isAbandoned() && !story.isCrashing())
			.filter((story) -> !(story.isProbe() && story.isDenied()))
			.toList();
		long served = stories.stream().filter(RequestStory::isServed).count();
		if (stories.isEmpty() || served < RECOVERED_SHARE * stories.size()) {
			RequestStory first = stories.stream().filter((story) -> !story.isServed()).findFirst().orElse(null);
			add(Promise.RECOVERY, served + " of " + stories.size() + " served, first that was not: " + first);
		}
	}

	/**
	 * Span after the last fault.
	 *
	 * @param fromMillis its start
	 * @param toMillis its end
	 */
	record Recovery(long fromMillis, long toMillis) {
	}

}
