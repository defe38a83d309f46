package org.magnoliahub.entry;

import java.io.IOException;
import java.net.Socket;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against responses of slow endpoints that are given up although no other endpoint
 * takes the request.
 */
@Execution(ExecutionMode.CONCURRENT)
class SilentEndpointTests {

	/** Longer than the response timeout between the events of a stream. */
	private static final long EVENT_PAUSE_MILLIS = 1_500;

	/** Longer than the response timeout of a plain request. */
	private static final long RESPONSE_MILLIS = 900;

	private EntryFixture fixture;

	@BeforeEach
	void start() throws IOException, PlatformFormatException {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void streamWithPause(RawServer.Request request, Socket socket) throws IOException {
		RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)));
		pause(EVENT_PAUSE_MILLIS);
		RawServer.write(socket, EntryFixture.chunk(EntryFixture.event(2)) + "0\r\n\r\n");
	}

	private static void streamAfterPause(RawServer.Request request, Socket socket) throws IOException {
		pause(EVENT_PAUSE_MILLIS);
		RawServer.write(socket,
				EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n");
	}

	private static void respondSlowly(RawServer.Request request, Socket socket) throws IOException {
		pause(RESPONSE_MILLIS);
		RawServer.write(socket, EntryFixture.signedResponse(request, "slow"));
	}

	private void addSoundEndpoint(String service, RawServer.Handler sound) throws Exception {
		this.fixture.addEndpoint("e-1", service, sound);
		this.fixture.awaitEndpoints();
	}

	private void assertStreamIsComplete(String events) throws IOException {
		CallerAnswer answer = this.fixture.send("POST", "/draft/1", "r1");
		assertThat(answer.body()).isEqualTo(events);
		assertThat(answer.complete()).isTrue();
	}

	private void assertResponseIsRelayed() throws IOException {
		CallerAnswer answer = this.fixture.send("GET", "/look/1", "r1");
		assertThat(answer.status()).isEqualTo(200);
		assertThat(answer.body()).isEqualTo("slow");
	}

	@Test
	void slowStreamOfOnlyEndpointIsNotAborted() throws Exception {
		addSoundEndpoint("model", SilentEndpointTests::streamWithPause);
		assertStreamIsComplete(EntryFixture.event(1) + EntryFixture.event(2));
	}

	@Test
	void lateFirstEventOfOnlyEndpointIsNotGivenUp() throws Exception {
		addSoundEndpoint("model", SilentEndpointTests::streamAfterPause);
		assertStreamIsComplete(EntryFixture.event(1));
	}

	@Test
	void slowResponseOfOnlyEndpointIsNotGivenUp() throws Exception {
		addSoundEndpoint("plain", SilentEndpointTests::respondSlowly);
		assertResponseIsRelayed();
	}

}
