package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against gateways that exceed the rate of an endpoint together, against rates
 * that never end, and against an endpoint that gets no requests.
 */
class RequestedRateTests {

	private static final long WINDOW_MILLIS = 4_000;

	private static final long END_MILLIS = 60_000;

	private static final RateShare EXCLUDED = new RateShare(3, 1, 4);

	private final RequestedRate rate = new RequestedRate();

	private static double permitted(double perSecond) {
		return 1.5 * perSecond * WINDOW_MILLIS / 1_000 + 5;
	}

	private static int mostInWindow(List<Long> times) {
		int most = 0;
		int first = 0;
		for (int last = 0; last < times.size(); last++) {
			while (times.get(last) - times.get(first) >= WINDOW_MILLIS) {
				first++;
			}
			most = Math.max(most, last - first + 1);
		}
		return most;
	}

	// Gateways have more requests than they may send, but none for a random time.
	private static List<Long> callTimes(int gateways, double perSecond, long seed) {
		Random random = new Random(seed);
		Set<String> names = new TreeSet<>();
		for (int index = 0; index < gateways; index++) {
			names.add("gateway-" + index);
		}
		List<Long> times = new ArrayList<>();
		for (String name : names) {
			Set<String> others = new TreeSet<>(names);
			others.remove(name);
			RequestedRate rate = new RequestedRate();
			RateShare share = RateShare.of("endpoint-" + seed, perSecond, name, others);
			rate.state(random.nextInt(500), perSecond, share);
			long idleUntil = random.nextInt(20_000);
			for (long now = idleUntil; now < END_MILLIS; now++) {
				if (rate.mayBeginCall(now)) {
					rate.beginCall(now);
					times.add(now);
					rate.state(now + 10, perSecond, share);
				}
			}
		}
		times.sort(Long::compare);
		return times;
	}

	@Property(tries = 100)
	void gatewaysTogetherStayWithinTheRate(@ForAll @IntRange(min = 1, max = 100) int gateways,
			@ForAll @DoubleRange(min = 0.2, max = 60) double perSecond, @ForAll long seed) {
		assertThat((double) mostInWindow(callTimes(gateways, perSecond, seed)))
			.isLessThanOrEqualTo(permitted(perSecond));
	}

	@Property(tries = 500)
	void endpointGetsMostOfTheRateItAccepts(@ForAll @IntRange(min = 1, max = 100) int gateways,
			@ForAll @DoubleRange(min = 1, max = 60) double perSecond, @ForAll long seed) {
		long from = 30_000;
		long calls = callTimes(gateways, perSecond, seed).stream().filter((time) -> time >= from).count();
		assertThat(calls * 1_000.0 / (END_MILLIS - from)).isGreaterThan(0.7 * perSecond);
	}

	@Test
	void unusedRequestsAreNotSaved() {
		this.rate.state(0, 2, RateShare.WHOLE);
		assertThat(this.rate.mayBeginCall(60_000)).isTrue();
		this.rate.beginCall(60_000);
		assertThat(this.rate.mayBeginCall(60_499)).isFalse();
		assertThat(this.rate.mayBeginCall(60_500)).isTrue();
	}

	@Test
	void delayedResponseWithoutARateDoesNotEndIt() {
		this.rate.state(0, 2, RateShare.WHOLE);
		assertThat(this.rate.stateNone(900)).isFalse();
		assertThat(this.rate.perSecond()).isEqualTo(2);
		assertThat(this.rate.stateNone(1_000)).isTrue();
		assertThat(this.rate.mayBeginCall(1_000)).isTrue();
	}

	@Test
	void gatewayWithoutAShareAsksInItsTurnWhetherTheRateHolds() {
		this.rate.state(0, 2, EXCLUDED);
		assertThat(this.rate.mayBeginCall(14_999)).isFalse();
		assertThat(this.rate.mayBeginCall(15_000)).isTrue();
		assertThat(this.rate.mayBeginCall(16_000)).isFalse();
		assertThat(this.rate.mayBeginCall(35_000)).isTrue();
	}

	@Test
	void repeatedStatementsDoNotPostponeTheNextRequest() {
		this.rate.state(0, 2, RateShare.WHOLE);
		this.rate.state(400, 2, RateShare.WHOLE);
		assertThat(this.rate.mayBeginCall(500)).isTrue();
	}

	@Test
	void waitIsTheTimeUntilSomeGatewayMaySend() {
		this.rate.state(0, 2, EXCLUDED);
		assertThat(this.rate.waitMillis(0)).isEqualTo(500);
	}

}
