package org.magnoliahub.entry;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.emulator.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against results of an earlier process of a gateway that reach the present one,
 * which numbers its jobs from one again and would answer its callers with them.
 */
class RestartedSubmitterTests {

	private static final String MEMBER = "gateway-9";

	private static final Pattern ID = Pattern.compile("\"id\":\"([^\"]+)\"");

	private final List<String> started = new CopyOnWriteArrayList<>();

	private final List<String> released = new CopyOnWriteArrayList<>();

	private final CountDownLatch mayEnd = new CountDownLatch(1);

	private EntryFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = EntryFixture.start();
		this.fixture.addEndpoint("read-1", "read", this::answer);
		this.fixture.awaitEndpoints();
	}

	@AfterEach
	void close() throws IOException {
		this.fixture.close();
	}

	// The results are named after their requests.
	private void answer(RawServer.Request request, Socket socket) throws IOException {
		String body = "{}";
		if (request.target().equals("/api/stage-free")) {
			this.released.add(request.body());
		}
		else {
			List<String> ids = ID.matcher(request.body()).results().map((MatchResult match) -> match.group(1)).toList();
			this.started.addAll(ids);
			awaitEnd();
			List<String> items = ids.stream()
				.map((id) -> "{\"handle\":\"127.0.0.1:" + socket.getLocalPort() + "/" + id + "\"}")
				.toList();
			body = "{\"items\":[" + String.join(",", items) + "]}";
		}
		RawServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
	}

	private void awaitEnd() {
		try {
			this.mayEnd.await(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private PeerClient connect() throws IOException {
		return PeerClient.open(this.fixture.connectAsPeer(0), MEMBER);
	}

	private void submitAndAwaitStart(PeerClient client, String requestId) throws IOException {
		client.submit(1, requestId);
		Awaitility.await().until(() -> this.started.contains(requestId));
	}

	@Test
	void restartedGatewayGetsNoResultOfItsEarlierProcess() throws Exception {
		PeerClient earlier = connect();
		submitAndAwaitStart(earlier, "earlier");
		earlier.close();
		try (PeerClient present = connect()) {
			present.submit(1, "present");
			this.mayEnd.countDown();
			assertThat(present.awaitResult().result().handle()).endsWith("/present");
		}
	}

	@Test
	void resultOfAProcessThatIsGoneIsReleased() throws Exception {
		PeerClient earlier = connect();
		submitAndAwaitStart(earlier, "earlier");
		earlier.close();
		Awaitility.await().until(() -> this.fixture.log().contains("submitter_gone"));
		this.mayEnd.countDown();
		Awaitility.await()
			.atMost(Duration.ofSeconds(5))
			.until(() -> this.released.stream().anyMatch((handles) -> handles.contains("/earlier")));
	}

	/**
	 * Guards against the same when the earlier process was stopped, and says Hello after
	 * its successor.
	 */
	@Test
	void processThatSaysHelloLateGetsNoResultOfItsSuccessor() throws Exception {
		try (PeerClient present = connect()) {
			submitAndAwaitStart(present, "present");
			try (PeerClient earlier = connect()) {
				earlier.submit(1, "earlier");
				this.mayEnd.countDown();
				assertThat(earlier.awaitResult().result().handle()).endsWith("/earlier");
			}
		}
	}

	/**
	 * Guards against the same when the connection of the earlier process is still open.
	 */
	@Test
	void resultsFollowTheConnectionAndNotTheName() throws Exception {
		try (PeerClient earlier = connect()) {
			submitAndAwaitStart(earlier, "earlier");
			try (PeerClient present = connect()) {
				present.submit(1, "present");
				this.mayEnd.countDown();
				assertThat(present.awaitResult().result().handle()).endsWith("/present");
			}
		}
	}

}
