package org.magnoliahub.serving;

import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

/**
 * Measures how the cost of a route lookup and of an endpoint record update grows with the
 * number of routes and endpoints. Run manually:
 * {@code mvn -B -ntp test -Dtest=SizeMeasurement}.
 */
class SizeMeasurement {

	private static final int ROUNDS = 7;

	private static final int CALLS = 20_000;

	@Test
	void routeLookup() {
		for (int count : new int[] { 100, 1_400, 14_000 }) {
			ServingConfiguration configuration = ServingConfiguration.of(1,
					IntStream.range(0, count).mapToObj(SizeMeasurement::route).toList(), List.of(),
					CallerLimits.DEFAULT, false, Map.of());
			print("route lookup", count, (index) -> configuration.route("h", "/p" + index * 7_919 % count + "/x/work"));
		}
	}

	@Test
	void endpointRecordUpdate() {
		for (int count : new int[] { 148, 2_600 }) {
			EndpointRecord[] records = IntStream.range(0, count)
				.mapToObj((index) -> ServingFixtures.endpoint("i-" + index, "service-" + index % 5, "z1"))
				.toArray(EndpointRecord[]::new);
			EndpointDirectory directory = ServingFixtures.directory(records);
			print("endpoint record update", count, (index) -> directory.update(records[index % count]));
		}
	}

	private static Route route(int index) {
		return new Route("r" + index, "h", "/p" + index + "/x/", CallKind.IDEMPOTENT, 1_000, 300, 0,
				List.of(new ServiceShare("service", 1)), 1, List.of(), false, false, 0);
	}

	private static void print(String operation, int count, IntConsumer action) {
		long best = Long.MAX_VALUE;
		for (int round = 0; round < ROUNDS; round++) {
			long startedAt = System.nanoTime();
			IntStream.range(0, CALLS).forEach(action);
			best = Math.min(best, (System.nanoTime() - startedAt) / CALLS);
		}
		System.out.println(operation + ", " + count + ": " + best + " ns");
	}

}
