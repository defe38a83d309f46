package org.magnoliahub.serving;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Fixtures shared by the tests of this package.
 */
final class ServingFixtures {

	static final JobOrigin ORIGIN = new JobOrigin("gateway", 1);

	static final StageLimits LIMITS = new StageLimits(1, 10, 240, 10, 10_000, 4_000);

	private ServingFixtures() {
	}

	static EndpointRecord endpoint(String id, String service, String zone) {
		return new EndpointRecord(id, service, "10.0.0.1:80", zone, 4, false, 1, 1);
	}

	static EndpointDirectory directory(EndpointRecord... records) {
		EndpointDirectory directory = new EndpointDirectory();
		directory.recordStoreContact(0);
		directory.replaceAll(List.of(records), 0);
		return directory;
	}

	static WindowedRetryBudget retryBudget() {
		return new WindowedRetryBudget(0.2, 1_000, 10_000);
	}

	static StageJob job(long jobId, int pieces, long startDeadline, long resultBytes) {
		return new StageJob(ORIGIN, jobId, "request-" + jobId, 0, IntStream.range(0, pieces).boxed().toList(), "key",
				List.of(), false, resultBytes, startDeadline, 100_000, 0, ZonePreference.NONE);
	}

	static CallerRequest request(List<PromptSegment> segments, int promptTokens) {
		return new CallerRequest("request", 1_000, null, segments, promptTokens, 10, List.of(), "", null);
	}

}
