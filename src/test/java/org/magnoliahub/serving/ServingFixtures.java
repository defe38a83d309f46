package org.magnoliahub.serving;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Values that several tests need.
 */
final class ServingFixtures {

	static final StageLimits POOL = new StageLimits(1, 10, 240, 10, 10_000, 4_000);

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

	static WindowedRetryBudget budget() {
		return new WindowedRetryBudget(0.2, 1_000, 10_000);
	}

	static StageJob work(long group, int pieces, long startBy, long resultBytes) {
		return new StageJob("gateway", group, "request-" + group, 0, IntStream.range(0, pieces).boxed().toList(), "key",
				List.of(), resultBytes, startBy, 100_000, 0, ZonePreference.NONE);
	}

	static CallerRequest request(List<PromptSegment> parts, int promptTokens) {
		return new CallerRequest("request", 1_000, null, parts, promptTokens, 10, List.of(), "", null);
	}

}
