package org.magnoliahub.serving;

import java.util.ArrayDeque;
import java.util.Deque;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against more retries by all gateways together than the budget permits, also when
 * all of them restart within one window.
 */
class WindowedRetryBudgetTests {

	private static final int GATEWAY_COUNT = 5;

	private static final double CONSTANT = 58;

	private static WindowedRetryBudget budget() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0.2, CONSTANT, 10_000);
		budget.setGatewayCount(GATEWAY_COUNT);
		return budget;
	}

	private static int acquireAll(WindowedRetryBudget budget, long now) {
		int acquired = 0;
		while (budget.tryAcquire("s", now)) {
			acquired++;
		}
		return acquired;
	}

	@Test
	void restartsWithinAWindowDoNotExceedTheConstant() {
		int acquired = 0;
		for (int gateway = 0; gateway < 2 * GATEWAY_COUNT; gateway++) {
			acquired += acquireAll(budget(), 0);
		}
		assertThat(acquired).isLessThanOrEqualTo((int) CONSTANT);
	}

	@Test
	void retriesBecomeAvailableAfterTheWindow() {
		WindowedRetryBudget budget = budget();
		int first = acquireAll(budget, 0);
		assertThat(acquireAll(budget, 9_000)).isZero();
		assertThat(acquireAll(budget, 11_000)).isEqualTo(first);
	}

	@Test
	void severalRetriesAreAcquiredTogetherOrNotAtAll() {
		WindowedRetryBudget budget = budget();
		double before = budget.availableRetries("s", 0);
		assertThat(budget.tryAcquire("s", 100, 0)).isFalse();
		assertThat(budget.availableRetries("s", 0)).isEqualTo(before);
	}

	@Property(tries = 200)
	void retriesInAnyWindowStayWithinTheBudget(@ForAll @IntRange(min = 1, max = 60) int requestsPerSecond,
			@ForAll @IntRange(min = 0, max = 60) int retriesPerSecond) {
		WindowedRetryBudget budget = budget();
		Deque<Long> requests = new ArrayDeque<>();
		Deque<Long> retries = new ArrayDeque<>();
		for (long now = 0; now < 40_000; now += 500) {
			for (int index = 0; index < requestsPerSecond / 2; index++) {
				budget.recordRequest("s", now);
				requests.add(now);
			}
			for (int index = 0; index < retriesPerSecond; index++) {
				if (budget.tryAcquire("s", now)) {
					retries.add(now);
				}
			}
			long from = now - 10_000;
			requests.removeIf((time) -> time <= from);
			retries.removeIf((time) -> time <= from);
			assertThat((double) retries.size()).isLessThanOrEqualTo(0.2 * requests.size() + CONSTANT / GATEWAY_COUNT);
		}
	}

}
