package org.magnoliahub.enginehttp;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.Schedulers;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.agent.EndpointEvent;
import org.magnoliahub.agent.EndpointException;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.model.StageType;
import org.magnoliahub.platform.emulator.PartialAnswerServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an answer without a length that the back end resets while the call is
 * still being written, and that becomes the result of a stage.
 */
class ResetDuringCallTests {

	/** Larger than the buffers of a connection. */
	private static final int INPUT_CHARACTERS = 16 * 1_048_576;

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

	@AfterEach
	void stop() {
		this.executor.shutdownNow();
	}

	private TestSubscriber<EndpointEvent> call(String part, @Nullable CompletableFuture<Void> reset)
			throws IOException {
		try (PartialAnswerServer server = PartialAnswerServer.start(200, "text/plain", part, reset)) {
			HttpEndpointClient client = HttpEndpointClient.create("http://" + server.address(), "m",
					Schedulers.from(this.executor));
			StageCall call = new StageCall("stage", StageType.SERVICE, "/path", "workspace",
					"\"" + "u".repeat(INPUT_CHARACTERS) + "\"", List.of(), Optional.empty());
			return client.call(call, Duration.ofSeconds(10), 0).test().awaitDone(20, TimeUnit.SECONDS);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "half of the answer", "" })
	void answerThatIsResetWhileTheCallIsWrittenIsNoResult(String part) throws Exception {
		TestSubscriber<EndpointEvent> subscriber = call(part, CompletableFuture.completedFuture(null));
		assertThat(subscriber.values()).noneMatch(EndpointEvent.Finished.class::isInstance);
		subscriber.assertError((error) -> error instanceof EndpointException failure && failure.isEffectPossible());
	}

}
