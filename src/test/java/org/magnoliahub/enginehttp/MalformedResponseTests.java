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

	@ParameterizedTest
	@ValueSource(strings = { " X: 1", "\tX: 1", "X Y: 1", "X : 1", "X\t: 1", "X Y", "X\u0001Y: 1", "\u0001X: 1",
			"X\u0001: 1", "X\u001fY: 1", "X\u007fY: 1", "X\u000bY: 1", "X\u0000Y: 1", "X\rY: 1", ": 1", " : 1", "X",
			"X\u00e9: 1", "Content-Length : 2", "Content Length: 2", "Transfer-Encoding : chunked" })
	void responseWithMalformedFieldNameIsNoResult(String line) throws Exception {
		assertRejected(call("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody"));
		assertRejected(call("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + line + "\r\n\r\nbody"));
	}

	/** The field that should frame the body is malformed. */
	@ParameterizedTest
	@ValueSource(strings = { "Content-Length : 4", " Content-Length: 4", "Content Length: 4", "Content-Length\u0001: 4",
			"Transfer-Encoding : chunked" })
	void responseWithMalformedFramingIsNoResult(String line) throws Exception {
		assertRejected(call("HTTP/1.1 200 OK\r\nServer: s\r\n" + line + "\r\n\r\nbody"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "X : 1", "X Y: 1", " X: 1", "X\u0001: 1" })
	void responseWithMalformedTrailerIsNoResult(String line) throws Exception {
		assertRejected(
				call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n\r\n"));
	}

}
