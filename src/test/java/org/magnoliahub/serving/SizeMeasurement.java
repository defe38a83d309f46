package org.magnoliahub.serving;

import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

/**
 * Prints how the cost of a look-up of a route and of an entry of an endpoint grows with
 * their number. Run by hand: {@code mvn -B -ntp test -Dtest=SizeMeasurement}.
 */
class SizeMeasurement {

	private static final int ROUNDS = 7;

	private static final int CALLS = 20_000;

	@Test
	void lookUpOfARoute() {
		for (int count : new int[] { 100, 1_400, 14_000 }) {
			ServingConfiguration configuration = ServingConfiguration.of(1,
					IntStream.range(0, count).mapToObj(SizeMeasurement::route).toList(), List.of(),
					CallerLimits.DEFAULT, false, Map.of());
			print("route look-up", count,
					(index) -> configuration.route("h", "/p" + index * 7_919 % count + "/x/work"));
		}
	}

	@Test
	void entryOfAnEndpoint() {
		for (int count : new int[] { 148, 2_600 }) {
			EndpointRecord[] records = IntStream.range(0, count)
				.mapToObj((index) -> ServingFixtures.endpoint("i-" + index, "service-" + index % 5, "z1"))
				.toArray(EndpointRecord[]::new);
			EndpointDirectory directory = ServingFixtures.directory(records);
			print("entry of an endpoint", count, (index) -> directory.update(records[index % count]));
		}
	}

	private static Route route(int index) {
		return new Route("r" + index, "h", "/p" + index + "/x/", CallKind.IDEMPOTENT, 1_000, 300, 0,
				List.of(new ServiceShare("service", 1)), 1, List.of(), false, false, 0);
	}

	private static void print(String what, int count, IntConsumer call) {
		long best = Long.MAX_VALUE;
		for (int round = 0; round < ROUNDS; round++) {
			long begun = System.nanoTime();
			IntStream.range(0, CALLS).forEach(call);
			best = Math.min(best, (System.nanoTime() - begun) / CALLS);
		}
		System.out.println(what + ", " + count + ": " + best + " ns");
	}

}
