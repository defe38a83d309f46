package org.magnoliahub.entry;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams with stages that are closed at a silent but sound endpoint
 * before another one has taken them.
 */
class SilentStagedStreamTests {

	/** Longer than the response timeout between the events of a stream. */
	private static final long EVENT_PAUSE_MILLIS = 1_600;

	/** Ends while slow stages run again. */
	private static final long SHORT_EVENT_PAUSE_MILLIS = 1_300;

	/** Shorter than the timeout of a stage call. */
	private static final long SLOW_STAGE_MILLIS = 600;

	/** Two endpoints must not work on one stream for longer. */
	private static final long MAXIMUM_OVERLAP_NANOS = Duration.ofMillis(400).toNanos();

	private static final String EVENTS = EntryFixture.event(1) + EntryFixture.event(2);

	private final StageEmulator stages = new StageEmulator(20, 1);

	private final AtomicInteger readCalls = new AtomicInteger();

	private final List<RawServer.Request> requests = new CopyOnWriteArrayList<>();

	private RepeatedRead repeatedRead = RepeatedRead.SOUND;

	private EntryFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = EntryFixture.start();
		this.fixture.addEndpoint("rank-1", "rank", this.stages.handler());
		this.fixture.addEndpoint("read-1", "read", this::read);
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private void read(RawServer.Request request, Socket socket) throws IOException {
		boolean repeated = request.target().equals("/api/stage-run") && this.readCalls.incrementAndGet() > 1;
		if (repeated && this.repeatedRead == RepeatedRead.FAILS) {
			String body = "{\"items\":[{\"reason\":\"late\"}]}";
			RawServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
			return;
		}
		if (repeated && this.repeatedRead == RepeatedRead.SLOW) {
			EntryFixture.pause(SLOW_STAGE_MILLIS);
		}
		this.stages.handler().handle(request, socket);
	}

	private void addModels(RawServer.Handler first, RawServer.Handler other) throws Exception {
		RawServer.Handler handler = (request, socket) -> {
			this.requests.add(request);
			RawServer.Handler next = (this.requests.size() == 1) ? first : other;
			next.handle(request, socket);
		};
		this.fixture.addEndpoint("model-1", "model", handler);
		this.fixture.addEndpoint("model-2", "model", handler);
		this.fixture.awaitEndpoints();
	}

	private CallerAnswer send() throws IOException {
		return this.fixture.send("POST", "/staged/1", "r1", "Pieces: 1,1", "Piece-Key: k1");
	}

	private void assertStreamIsComplete() throws IOException {
		CallerAnswer answer = send();
		assertThat(answer.body()).isEqualTo(EVENTS);
		assertThat(answer.complete()).isTrue();
	}

	private static void streamWithPause(RawServer.Request request, Socket socket) throws IOException {
		streamWithPause(request, socket, EVENT_PAUSE_MILLIS);
	}

	private static void streamWithPause(RawServer.Request request, Socket socket, long pauseMillis) throws IOException {
		RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)));
		EntryFixture.pause(pauseMillis);
		RawServer.write(socket, EntryFixture.chunk(EntryFixture.event(2)) + "0\r\n\r\n");
	}

	private static void refuse(RawServer.Request request, Socket socket) throws IOException {
		RawServer.write(socket, EntryFixture.notExecutedResponse(request, 503));
	}

	@Test
	void streamIsNotAbortedIfOtherEndpointRefuses() throws Exception {
		addModels(SilentStagedStreamTests::streamWithPause, SilentStagedStreamTests::refuse);
		assertStreamIsComplete();
		assertThat(this.requests).hasSize(2);
	}

	@Test
	void streamIsNotAbortedIfItsStagesFailWhenTheyRunAgain() throws Exception {
		this.repeatedRead = RepeatedRead.FAILS;
		addModels(SilentStagedStreamTests::streamWithPause, SilentStagedStreamTests::refuse);
		assertStreamIsComplete();
		// The stages are not repeated again and again while the endpoint is silent.
		assertThat(this.readCalls).hasValue(2);
	}

	@Test
	void streamThatGoesOnWhileItsStagesRunAgainIsNotSentToOtherEndpoint() throws Exception {
		this.repeatedRead = RepeatedRead.SLOW;
		addModels((request, socket) -> streamWithPause(request, socket, SHORT_EVENT_PAUSE_MILLIS),
				SilentStagedStreamTests::refuse);
		assertStreamIsComplete();
		assertThat(this.readCalls).hasValue(2);
		assertThat(this.requests).hasSize(1);
		Awaitility.await().until(() -> this.stages.held() == 0);
	}

	@Test
	void endpointThatStaysSilentIsLeftOnceOtherEndpointHasTheRequest() throws Exception {
		this.fixture.leaveStateRequestsUnanswered();
		AtomicLong takenNanos = new AtomicLong();
		AtomicLong closedNanos = new AtomicLong();
		addModels((request, socket) -> {
			RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)));
			if (socket.getInputStream().read() < 0) {
				closedNanos.set(System.nanoTime());
			}
			socket.close();
		}, (request, socket) -> {
			takenNanos.set(System.nanoTime());
			EntryFixture.pause(EVENT_PAUSE_MILLIS / 2);
			RawServer.write(socket,
					EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(2)) + "0\r\n\r\n");
		});
		assertStreamIsComplete();
		assertThat(this.requests.get(1).header("Inputs")).contains("/r1-0-");
		assertThat(closedNanos.get() - takenNanos.get()).isBetween(0L, MAXIMUM_OVERLAP_NANOS);
	}

	@Test
	void silentEndpointThatCrashesWhileStagesRunAgainIsReplaced() throws Exception {
		this.repeatedRead = RepeatedRead.SLOW;
		addModels((request, socket) -> {
			RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)));
			EntryFixture.pause(SHORT_EVENT_PAUSE_MILLIS);
			RawServer.reset(socket);
		}, (request, socket) -> RawServer.write(socket,
				EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(2)) + "0\r\n\r\n"));
		assertStreamIsComplete();
	}

	private enum RepeatedRead {

		SOUND, SLOW, FAILS

	}

}
