package org.magnoliahub.enginehttp;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.Schedulers;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.agent.EndpointEvent;
import org.magnoliahub.agent.EndpointException;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.model.StageType;
import org.magnoliahub.platform.emulator.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a malformed response of a back end that becomes the result of a stage,
 * or for which a call waits until its timeout.
 */
class MalformedResponseTests {

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

	@AfterEach
	void stop() {
		this.executor.shutdownNow();
	}

	private TestSubscriber<EndpointEvent> call(String response) throws IOException {
		try (RawServer server = RawServer.start((request, socket) -> write(socket, response))) {
			HttpEndpointClient client = HttpEndpointClient.create("http://" + server.address(), "m",
					Schedulers.from(this.executor));
			StageCall call = new StageCall("stage", StageType.SERVICE, "/path", "workspace", "{}", List.of(),
					Optional.empty());
			return client.call(call, Duration.ofSeconds(4), 0).test().awaitDone(10, TimeUnit.SECONDS);
		}
	}

	private static void write(Socket socket, String response) throws IOException {
		socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
	}

	private static void assertRejected(TestSubscriber<EndpointEvent> subscriber) {
		assertThat(subscriber.values()).noneMatch(EndpointEvent.Finished.class::isInstance);
		subscriber.assertError((error) -> error instanceof EndpointException failure && failure.isEffectPossible()
				&& !String.valueOf(failure.getMessage()).contains("timeout"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "000 X", "000", "099 X", "99 X", "20 X", "0200 X", "2000 X", "600 X", "999 X", "+20 X",
			"-20 X", "20x X", "101 Switching Protocols" })
	void responseWithMalformedStatusIsNoResult(String status) throws Exception {
		assertRejected(call("HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\nbody"));
	}

}
