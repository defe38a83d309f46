package org.magnoliahub.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.nio.NioEventLoopGroup;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against exceptions of timer tasks that nobody sees, and against periodic tasks
 * that end with one.
 */
class EventLoopTimersTests {

	private static final Duration LIMIT = Duration.ofSeconds(5);

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final List<String> failures = new CopyOnWriteArrayList<>();

	private final EventLoopTimers timers = new EventLoopTimers(this.group.next(),
			(failure) -> this.failures.add(FailureText.of(failure)));

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	void failureOfATaskThatRunsOnceIsReported() {
		this.timers.schedule(Duration.ofMillis(10), () -> {
			throw new IllegalStateException("task failed");
		});
		Awaitility.await().atMost(LIMIT).until(() -> !this.failures.isEmpty());
		assertThat(this.failures.get(0))
			.contains("IllegalStateException: task failed at " + EventLoopTimersTests.class.getName());
	}

	@Test
	void periodicTaskGoesOnAfterFailures() {
		AtomicInteger runs = new AtomicInteger();
		this.timers.schedulePeriodically(Duration.ofMillis(10), () -> {
			if (runs.incrementAndGet() == 1) {
				throw new StackOverflowError();
			}
			throw new IllegalStateException("task failed");
		});
		Awaitility.await().atMost(LIMIT).until(() -> runs.get() >= 3 && this.failures.size() >= 2);
	}

}
