package org.magnoliahub.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Checks that all gateways together respect the request rate that an endpoint states.
 * Each answer that states the rate stands for one request.
 */
final class RequestRateCheck {

	private static final long WINDOW_MILLIS = 4_000;

	/** Time from the first answer in which requests may still be on their way. */
	private static final long NOTICE_MILLIS = 500;

	/** Time without an answer after which the next one belongs to another rate. */
	private static final long FORGOTTEN_MILLIS = 15_000;

	private static final double TOLERATED_RATIO = 1.5;

	private static final int TOLERATED_REQUESTS = 5;

	private static final double MILLIS_PER_SECOND = 1_000;

	private RequestRateCheck() {
	}

	/**
	 * Checks a run that has ended.
	 * @param ledger its stories
	 * @return one finding for each endpoint that got too many requests
	 */
	static List<Finding> check(Ledger ledger) {
		List<Finding> findings = new ArrayList<>();
		ledger.rateNotices()
			.stream()
			.collect(Collectors.groupingBy(Ledger.RateNotice::endpoint))
			.forEach((endpoint, notices) -> check(endpoint, counted(ledger, notices), findings));
		return findings;
	}

	private static List<Ledger.RateNotice> counted(Ledger ledger, List<Ledger.RateNotice> notices) {
		Map<Integer, Long> toldSince = new HashMap<>();
		Map<Integer, Long> last = new HashMap<>();
		List<Ledger.RateNotice> counted = new ArrayList<>();
		for (Ledger.RateNotice notice : notices) {
			long now = notice.millis();
			Long before = last.put(notice.gateway(), now);
			if (before == null || now - before > FORGOTTEN_MILLIS) {
				toldSince.put(notice.gateway(), now);
			}
			long since = toldSince.getOrDefault(notice.gateway(), now);
			if (now > since + NOTICE_MILLIS && ledger.disturbances().isCalm(notice.gateway(), since, now)) {
				counted.add(notice);
			}
		}
		return counted;
	}

	private static void check(String endpoint, List<Ledger.RateNotice> counted, List<Finding> findings) {
		for (Ledger.RateNotice first : counted) {
			long count = counted.stream()
				.filter((notice) -> notice.millis() >= first.millis()
						&& notice.millis() < first.millis() + WINDOW_MILLIS)
				.count();
			if (count > permitted(first.perSecond())) {
				findings.add(new Finding(Finding.Promise.REQUEST_RATE,
						endpoint + ": " + count + " requests in 4 s from " + first.millis()));
				return;
			}
		}
	}

	private static double permitted(double perSecond) {
		return TOLERATED_RATIO * perSecond * WINDOW_MILLIS / MILLIS_PER_SECOND + TOLERATED_REQUESTS;
	}

}
