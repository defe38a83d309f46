package org.magnoliahub.platform.emulator;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against faults of endpoints that the soak names but does not play.
 */
class EndpointEmulatorTests {

	private static final String ENDPOINT = "i-1";

	private static String id(int remainder) {
		return IntStream.range(0, 1_000)
			.mapToObj((index) -> "r" + index)
			.filter((id) -> Math.floorMod(id.hashCode(), 3) == remainder)
			.findFirst()
			.orElseThrow();
	}

	private static void send(Socket socket, String id) throws IOException {
		RawServer.write(socket, "GET /look/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nTarget-Instance: "
				+ ENDPOINT + "\r\n\r\n");
	}

	@Test
	void refusalIsRepeatedBeforeTheNextAnswerOfItsConnection() throws IOException {
		try (EndpointEmulator endpoint = EndpointEmulator.start(ENDPOINT, 4, new SilentObserver())) {
			endpoint.setMode(EndpointEmulator.Mode.ADDS_ANSWERS);
			int colon = endpoint.address().indexOf(':');
			int port = Integer.parseInt(endpoint.address().substring(colon + 1));
			try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
				InputStream input = new BufferedInputStream(socket.getInputStream());
				send(socket, id(0));
				assertThat(CallerAnswer.read(input).status()).isEqualTo(503);
				send(socket, id(1));
				CallerAnswer repeated = CallerAnswer.read(input);
				assertThat(repeated.status()).isEqualTo(503);
				assertThat(repeated.headers()).containsEntry("request-id", id(0)).containsKey("not-executed");
				CallerAnswer answer = CallerAnswer.read(input);
				assertThat(answer.status()).isEqualTo(200);
				assertThat(answer.headers()).containsEntry("request-id", id(1));
			}
		}
	}

	/**
	 * Guards against state calls of gateways that count as requests no caller has sent.
	 */
	@Test
	void stateCallIsAnsweredAndIsNoRequest() throws IOException {
		RunObserver failing = new SilentObserver() {

			@Override
			public void arrived(EndpointRequest request) {
				throw new AssertionError(request);
			}

		};
		try (EndpointEmulator endpoint = EndpointEmulator.start(ENDPOINT, 4, failing)) {
			endpoint.setMode(EndpointEmulator.Mode.FULL);
			int port = Integer.parseInt(endpoint.address().substring(endpoint.address().indexOf(':') + 1));
			try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
				InputStream input = new BufferedInputStream(socket.getInputStream());
				for (String target : List.of(ENDPOINT, "i-2")) {
					RawServer.write(socket,
							"GET /api/report HTTP/1.1\r\nHost: h\r\nTarget-Instance: " + target + "\r\n\r\n");
					assertThat(CallerAnswer.read(input).status()).isEqualTo(target.equals(ENDPOINT) ? 200 : 421);
				}
			}
		}
	}

	@Test
	void loadReportsHaveFourFiguresOrAreMalformed() {
		LoadReports reports = new LoadReports();
		List<String> values = IntStream.range(0, 60)
			.mapToObj((index) -> reports.nextHeader(9, 8, 6).strip().substring("Server-Load:".length()).strip())
			.toList();
		assertThat(values).filteredOn((value) -> value.matches("8,0,8,[6-8]\\d\\d")).hasSize(50);
		assertThat(values).contains("", "-1", "text", "8,0,8,", "8,0,8,-1", "8,0,8,text");
	}

	@Test
	void streamsAreBrokenOffInsideAnEventInAllFramings() throws IOException {
		try (EndpointEmulator endpoint = EndpointEmulator.start(ENDPOINT, 4, new SilentObserver())) {
			endpoint.setMode(EndpointEmulator.Mode.TRUNCATES);
			int port = Integer.parseInt(endpoint.address().substring(endpoint.address().indexOf(':') + 1));
			for (StreamFraming framing : StreamFraming.values()) {
				String id = IntStream.range(0, 1_000)
					.mapToObj((index) -> "s" + index)
					.filter((candidate) -> StreamFraming.of(candidate) == framing)
					.findFirst()
					.orElseThrow();
				try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
					RawServer.write(socket, "POST /draft/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
							+ "\r\nTarget-Instance: " + ENDPOINT + "\r\n\r\n");
					CallerAnswer answer = CallerAnswer.read(new BufferedInputStream(socket.getInputStream()));
					assertThat(answer.complete()).isEqualTo(framing != StreamFraming.CHUNKS);
					assertThat(answer.body()).startsWith(EmulatedWork.event(id, 1)).doesNotEndWith("\n\n");
				}
			}
		}
	}

	private static class SilentObserver implements RunObserver {

		@Override
		public void arrived(EndpointRequest request) {
		}

		@Override
		public void started(EndpointRun run) {
		}

		@Override
		public void ended(EndpointRun run) {
		}

	}

}
