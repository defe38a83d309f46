package org.magnoliahub.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a malformed answer of a stage endpoint whose handles become the inputs
 * of a request.
 */
class MalformedStageAnswerTests {

	private final StageEmulator stages = new StageEmulator(20, 1);

	private final AtomicInteger malformedAnswers = new AtomicInteger();

	private EntryFixture fixture;

	private final List<String> inputs = new CopyOnWriteArrayList<>();

	@BeforeEach
	void start() throws Exception {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private void addEndpoints(String firstAnswer) throws Exception {
		this.fixture.addEndpoint("rank-1", "rank", (request, socket) -> {
			this.inputs.add(request.body());
			this.stages.handler().handle(request, socket);
		});
		this.fixture.addEndpoint("read-1", "read", (request, socket) -> read(request, socket, firstAnswer));
		this.fixture.addEndpoint("read-2", "read", (request, socket) -> read(request, socket, firstAnswer));
		this.fixture.addEndpoint("model-1", "model", (request, socket) -> {
			this.inputs.add(request.header("Inputs"));
			RawServer.write(socket,
					EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n");
		});
		this.fixture.awaitEndpoints();
	}

	private void read(RawServer.Request request, Socket socket, String firstAnswer) throws IOException {
		boolean run = request.target().equals("/api/stage-run");
		if (run && this.malformedAnswers.compareAndSet(0, 1)) {
			RawServer.write(socket, firstAnswer);
			socket.close();
			return;
		}
		this.stages.handler().handle(request, socket);
	}

	@ParameterizedTest
	@ValueSource(strings = { "000 X\r\n", "600 X\r\n", "200 OK\r\n X: 1\r\n", "200 OK\r\nX Y: 1\r\n",
			"200 OK\r\nX : 1\r\n", "200 OK\r\nX\u0001Y: 1\r\n" })
	void piecesRunAgain(String head) throws Exception {
		String body = "{\"items\":[{\"handle\":\"127.0.0.1:1/malformed\"}]}";
		addEndpoints("HTTP/1.1 " + head + "Content-Length: " + body.length() + "\r\n\r\n" + body);
		CallerAnswer answer = this.fixture.send("POST", "/staged/1", "r1", "Pieces: 1,1", "Piece-Key: k1");
		assertThat(answer.body()).isEqualTo(EntryFixture.event(1));
		assertThat(answer.complete()).isTrue();
		assertThat(this.malformedAnswers).hasValue(1);
		assertThat(this.inputs).hasSizeGreaterThan(1).noneMatch((handles) -> handles.contains("malformed"));
	}

}
