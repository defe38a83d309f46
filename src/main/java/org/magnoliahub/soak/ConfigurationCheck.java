package org.magnoliahub.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.emulator.CallerAnswer;

/**
 * Judges what gateways answered for routes and keys that versions of the configuration
 * add and drop. An answer is wrong if only versions allow it that are older than the one
 * that must be in force: for a gateway in touch the newest one that was acknowledged
 * before the bound, and in one process any one whose effect an endpoint has seen.
 */
final class ConfigurationCheck {

	/** Time from the acknowledgement until a version must be in force. */
	static final long IN_FORCE_MILLIS = 2_000;

	/**
	 * A tenth of the bound: store and proxies look every 10 ms whether they may pass data
	 * on, and the process of the soak may be held up itself.
	 */
	static final long SLACK_MILLIS = 200;

	/** Time from the effect of a version until older ones must be out of force. */
	static final long REGRESS_MILLIS = 250;

	private final ConfigurationVersions versions = new ConfigurationVersions();

	private final List<Probe> probes = new CopyOnWriteArrayList<>();

	ConfigurationVersions versions() {
		return this.versions;
	}

	/**
	 * Notes a request that only some versions allow.
	 * @param probe the request, which has ended
	 */
	void add(Probe probe) {
		this.probes.add(probe);
	}

	/**
	 * Judges all probes of a run that has ended.
	 * @param disturbances what disturbed the gateways
	 * @return what was broken
	 */
	List<Finding> check(Disturbances disturbances) {
		List<Finding> findings = new ArrayList<>();
		for (Probe probe : this.probes) {
			judge(probe, disturbances).ifPresent(findings::add);
		}
		return findings;
	}

	private Optional<Finding> judge(Probe probe, Disturbances disturbances) {
		int seen = newestSeen(probe);
		if (needsOlderThan(seen, probe)) {
			return Optional.of(finding(Finding.Promise.CONFIGURATION_NEVER_BACK, seen, probe));
		}
		long sent = probe.story().sentMillis();
		int due = this.versions.newestAccepted(sent - IN_FORCE_MILLIS - SLACK_MILLIS);
		if (needsOlderThan(due, probe) && disturbances.isInTouch(probe.story().gateway(), sent, SLACK_MILLIS)) {
			return Optional.of(finding(Finding.Promise.CONFIGURATION_IN_TIME, due, probe));
		}
		return Optional.empty();
	}

	private int newestSeen(Probe probe) {
		long before = probe.story().sentMillis() - REGRESS_MILLIS;
		return this.probes.stream()
			.filter((other) -> other.story().gateway() == probe.story().gateway()
					&& other.incarnation() == probe.incarnation() && other.hasArrivedBefore(before))
			.mapToInt(Probe::version)
			.max()
			.orElse(ConfigurationVersions.NONE);
	}

	private boolean needsOlderThan(int oldest, Probe probe) {
		int last = probe.version() + ConfigurationVersions.KEPT - 1;
		if (probe.isAdmitted()) {
			return oldest > last;
		}
		return probe.story().isDenied() && oldest >= probe.version()
				&& this.versions.newestBegun(probe.story().endedMillis()) <= last;
	}

	private static Finding finding(Finding.Promise promise, int due, Probe probe) {
		int last = probe.version() + ConfigurationVersions.KEPT - 1;
		return new Finding(promise,
				probe.story() + (probe.isAdmitted() ? " admitted" : " denied") + " though only versions "
						+ ConfigurationVersions.number(probe.version()) + " to " + ConfigurationVersions.number(last)
						+ " allow it and " + ConfigurationVersions.number(due) + " was due");
	}

	/**
	 * A request that only some versions allow.
	 *
	 * @param story the request
	 * @param version index of the version that adds its route or its key
	 * @param incarnation number of the process of the gateway that got it
	 */
	record Probe(RequestStory story, int version, int incarnation) {

		private static final int BAD_GATEWAY = 502;

		private static final int GATEWAY_TIMEOUT = 504;

		/**
		 * Returns whether the gateway applied the route and the key. An answer such as
		 * 503 does not show that.
		 * @return whether the request reached an endpoint or failed on the way there
		 */
		private boolean isAdmitted() {
			CallerAnswer answer = this.story.answer();
			return !this.story.arrivals().isEmpty() || hasFailed(answer);
		}

		private static boolean hasFailed(@Nullable CallerAnswer answer) {
			return answer != null && (answer.status() == BAD_GATEWAY || answer.status() == GATEWAY_TIMEOUT);
		}

		private boolean hasArrivedBefore(long moment) {
			return this.story.arrivals().stream().anyMatch((arrival) -> arrival.millis() < moment);
		}

	}

}
