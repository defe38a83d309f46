package org.magnoliahub.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Checks that requests with a part that ends endpoints are kept from them, and that sound
 * ones which share other parts are served meanwhile.
 */
final class CrashingPromptCheck {

	/** Ends after which requests with the part must not be sent any more. */
	private static final int ENDS = 5;

	private static final int TOLERATED = 3;

	/** So many sound requests are needed on either side to compare them. */
	private static final int MINIMUM_COMPARED = 20;

	private static final double SERVED_SHARE = 0.5;

	private static final int OK = 200;

	private final Ledger ledger;

	private CrashingPromptCheck(Ledger ledger) {
		this.ledger = ledger;
	}

	/**
	 * Checks a run that has ended.
	 * @param ledger its stories
	 * @return what was broken
	 */
	static List<Finding> check(Ledger ledger) {
		return new CrashingPromptCheck(ledger).check();
	}

	private List<Finding> check() {
		List<Finding> findings = new ArrayList<>();
		List<Long> crashes = this.ledger.crashes();
		if (crashes.isEmpty()) {
			return findings;
		}
		long last = crashes.get(Math.min(ENDS, crashes.size()) - 1);
		if (crashes.size() >= ENDS) {
			checkArrivals(last + Disturbances.CONTACT_MILLIS, findings);
		}
		checkSound(crashes.get(0), last + 2 * Disturbances.CONTACT_MILLIS, findings);
		return findings;
	}

	private void checkArrivals(long from, List<Finding> findings) {
		List<String> late = new ArrayList<>();
		for (RequestStory story : this.ledger.stories()) {
			if (!story.isCrashing()) {
				continue;
			}
			story.arrivals()
				.stream()
				.filter((arrival) -> arrival.millis() > from && isInTouch(story.gateway(), arrival.millis()))
				.forEach((arrival) -> late.add(story + ": " + arrival));
		}
		if (late.size() > TOLERATED) {
			findings.add(new Finding(Finding.Promise.CRASHING_PROMPT, late.size() + " requests reached endpoints after "
					+ from + ", " + this.ledger.crashes().size() + " ended, first " + late.get(0)));
		}
	}

	private void checkSound(long firstCrash, long from, List<Finding> findings) {
		List<RequestStory> before = sound((story) -> story.sentMillis() < firstCrash);
		List<RequestStory> after = sound((story) -> story.sentMillis() >= from);
		if (before.size() < MINIMUM_COMPARED || after.size() < MINIMUM_COMPARED) {
			return;
		}
		if (served(after) < SERVED_SHARE * served(before)) {
			findings.add(new Finding(Finding.Promise.CRASHING_PROMPT,
					"of sound requests %.2f are served, %.2f before".formatted(served(after), served(before))));
		}
	}

	private List<RequestStory> sound(Predicate<RequestStory> condition) {
		return this.ledger.stories()
			.stream()
			.filter((story) -> story.kind().isStream() && !story.isCrashing() && !story.isAbandoned())
			.filter((story) -> isInTouch(story.gateway(), story.sentMillis()))
			.filter(condition)
			.toList();
	}

	private static double served(List<RequestStory> stories) {
		return stories.stream().filter((story) -> story.answer() != null && story.answer().status() == OK).count()
				/ (double) stories.size();
	}

	private boolean isInTouch(int gateway, long millis) {
		return this.ledger.disturbances().isCalm(gateway, millis - Disturbances.CONTACT_MILLIS, millis);
	}

}
