package org.magnoliahub.entry;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests with unusual content that end without an answer.
 */
class OddRequestTests {

	private static EntryFixture fixture;

	@BeforeAll
	static void start() throws IOException, PlatformFormatException, InterruptedException {
		fixture = EntryFixture.start();
		fixture.addEndpoint("i-1", "plain", OddRequestTests::answer);
		fixture.addEndpoint("m-1", "model", OddRequestTests::answer);
		StageEmulator stages = new StageEmulator(5, 1);
		fixture.addEndpoint("s-1", "read", stages.handler());
		fixture.addEndpoint("s-2", "rank", stages.handler());
		fixture.awaitEndpoints();
	}

	@AfterAll
	static void stop() throws IOException {
		fixture.close();
	}

	@ParameterizedTest
	@ValueSource(strings = { "GET /look/1|Host: h", "GET /look/1|Host: h:", "GET /look/1|Host: ", "GET /look/1|Host: :",
			"GET /look/1|Host: [::1]:80", "GET http://h/look/1|Host: h", "OPTIONS *|Host: h", "GET /|Host: h",
			"GET /?|Host: h", "GET //|Host: h", "GET /look/%00|Host: h", "GET /look/\u0001|Host: h",
			"GET /look/\u007f|Host: h", "GET /look/\"<>{}|Host: h", "GET /look/\u00e9|Host: h", "G@T /look/1|Host: h",
			"TRACE /look/1|Host: h", "HEAD /look/1|Host: h", "HEAD /none/1|Host: h", "get /look/1|Host: h",
			"GET /look/1|Host: h|Request-Id: \u0001", "GET /look/1|Host: h|Request-Id: a\tb",
			"GET /look/1|Host: h|Request-Id: \u00e9", "GET /look/1|Host: h|Request-Id: a\u0000b",
			"GET /look/1|Host: h|X-\u00e9: 1", "GET /look/1|Host: h|X(Y): 1", "GET /look/1|Host: h|X Y: 1",
			"GET /look/1|Host: h|X: \u0001", "GET /look/1|Host: h|: 1", "GET /look/1|Host: h|X",
			"GET /look/1|Host: h|X: a| b", "GET /look/1|Host: h|Connection: Host, Request-Id, Authorization, ,,",
			"GET /look/1|Host: h|Connection: close, x", "GET /look/1|Host: h|Deadline-Ms: 99999999999999999999",
			"GET /look/1|Host: h|Deadline-Ms: 9223372036854775807",
			"GET /look/1|Host: h|Deadline-Ms: -9223372036854775808", "GET /look/1|Host: h|Deadline-Ms: -5",
			"GET /look/1|Host: h|Deadline-Ms: 0", "GET /look/1|Host: h|Expect: 100-continue",
			"GET /look/1|Host: h|Expect: other", "POST /look/1|Host: h|Content-Length: -1",
			"POST /look/1|Host: h|Content-Length: 99999999999999999999", "POST /look/1|Host: h|Content-Length: +2",
			"POST /look/1|Host: h|Transfer-Encoding: chunked", "GET /look/1|Host: h|Upgrade: h2c|Connection: Upgrade",
			"GET /look/1|Host: h|Authorization: Bearer", "GET /look/1|Host: h|Authorization: bearer ",
			"POST /draft/1|Host: h|Token-Count: 99999999999,-1", "POST /draft/1|Host: h|Token-Count: ,,,",
			"POST /draft/1|Host: h|Prompt-Prefix: a:2147483647,b:2147483647,c:-1",
			"POST /draft/1|Host: h|Prompt-Prefix: ,:,::,a:,a:x,:5", "POST /draft/1|Host: h|Last-Event-Id: \u0001",
			"POST /staged/1|Host: h|Pieces: 2147483647,1", "POST /staged/1|Host: h|Pieces: 99999999999,99999999999",
			"POST /staged/1|Host: h|Pieces: -1,5", "POST /staged/1|Host: h|Pieces: 0,1",
			"POST /staged/1|Host: h|Pieces: ,,,", "POST /staged/1|Host: h|Pieces: 1,1,1,1,1",
			"POST /staged/1|Host: h|Pieces: 50000000,1", "POST /staged/1|Host: h|Pieces: 1" })
	void requestIsAnswered(String text) throws Exception {
		String[] parts = text.split("\\|");
		StringBuilder request = new StringBuilder(parts[0] + " HTTP/1.1\r\n");
		for (int index = 1; index < parts.length; index++) {
			request.append(parts[index]).append("\r\n");
		}
		if (!text.contains("Authorization")) {
			request.append("Authorization: Bearer ").append(EntryFixture.API_KEY).append("\r\n");
		}
		if (!text.contains("Request-Id:")) {
			request.append("Request-Id: r1\r\n");
		}
		request.append("\r\n");
		if (text.contains("Transfer-Encoding")) {
			request.append("2\r\nhi\r\n0\r\nX-Trailer: 1\r\n\r\n");
		}
		try (Socket socket = fixture.connect(0)) {
			RawServer.write(socket, request.toString());
			BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
			CallerAnswer first = CallerAnswer.read(input);
			int status = (first.status() == 100) ? CallerAnswer.read(input).status() : first.status();
			assertThat(status).isBetween(200, 599);
		}
		assertThat(fixture.send("GET", "/look/1", "next").status()).isEqualTo(200);
	}

	private static void answer(RawServer.Request request, Socket socket) throws IOException {
		RawServer.write(socket, EntryFixture.signedResponse(request, request.method().equals("HEAD") ? "" : "x"));
	}

}
