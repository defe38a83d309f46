package org.magnoliahub.serving;

import java.util.ArrayDeque;
import java.util.Deque;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the limit on repeats over all gateways, also when all of them restart at once.
 */
class WindowedRetryBudgetTests {

	private static final int GATEWAYS = 5;

	private static final double CONSTANT = 58;

	private static WindowedRetryBudget budget() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0.2, CONSTANT, 10_000);
		budget.setGatewayCount(GATEWAYS);
		return budget;
	}

	private static int takeAll(WindowedRetryBudget budget, long now) {
		int taken = 0;
		while (budget.tryAcquire("s", now)) {
			taken++;
		}
		return taken;
	}

	@Test
	void gatewaysThatRestartWithinAWindowStayWithinTheConstant() {
		int taken = 0;
		for (int gateway = 0; gateway < 2 * GATEWAYS; gateway++) {
			taken += takeAll(budget(), 0);
		}
		assertThat(taken).isLessThanOrEqualTo((int) CONSTANT);
	}

	@Test
	void repeatsComeBackAfterTheWindow() {
		WindowedRetryBudget budget = budget();
		int first = takeAll(budget, 0);
		assertThat(takeAll(budget, 9_000)).isZero();
		assertThat(takeAll(budget, 11_000)).isEqualTo(first);
	}

	@Test
	void severalRepeatsAreTakenTogetherOrNotAtAll() {
		WindowedRetryBudget budget = budget();
		double before = budget.availableRetries("s", 0);
		assertThat(budget.tryAcquire("s", 100, 0)).isFalse();
		assertThat(budget.availableRetries("s", 0)).isEqualTo(before);
	}

	@Property(tries = 200)
	void anySpanOfTheWindowKeepsTheShare(@ForAll @IntRange(min = 1, max = 60) int requestsPerSecond,
			@ForAll @IntRange(min = 0, max = 60) int triesPerSecond) {
		WindowedRetryBudget budget = budget();
		Deque<Long> requests = new ArrayDeque<>();
		Deque<Long> repeats = new ArrayDeque<>();
		for (long now = 0; now < 40_000; now += 500) {
			for (int index = 0; index < requestsPerSecond / 2; index++) {
				budget.recordRequest("s", now);
				requests.add(now);
			}
			for (int index = 0; index < triesPerSecond; index++) {
				if (budget.tryAcquire("s", now)) {
					repeats.add(now);
				}
			}
			long from = now - 10_000;
			requests.removeIf((time) -> time <= from);
			repeats.removeIf((time) -> time <= from);
			assertThat((double) repeats.size()).isLessThanOrEqualTo(0.2 * requests.size() + CONSTANT / GATEWAYS);
		}
	}

}
