package org.magnoliahub.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import okhttp3.mockwebserver.Dispatcher;
import okhttp3.mockwebserver.MockResponse;
import okhttp3.mockwebserver.MockWebServer;
import okhttp3.mockwebserver.RecordedRequest;
import okio.Buffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class LoadTests {

	private static final String MIX = """
			workspaces: [{name: a, share: 3}, {name: b, share: 1}]
			classes:
			  - {pipeline: p, requestClass: c, rate: 100, deadlineMillis: 50, minimumInput: 1, maximumInput: 9,
			     burst: {factor: 5, millis: 500, share: 0.1}}
			""";

	private static LoadMix mix(String text) throws IOException {
		Path file = Files.createTempFile(Path.of("target"), "mix", ".yaml");
		try {
			return LoadMix.read(Files.writeString(file, text));
		}
		finally {
			Files.delete(file);
		}
	}

	/** Guards against runs that differ with one seed or miss the declared rate. */
	@Test
	void scheduleIsRepeatableAndHasTheDeclaredRate() throws IOException {
		List<LoadMix.PlannedCall> calls = mix(MIX).schedule(200, 1, 1_000_000, 7);
		assertThat(calls).isEqualTo(mix(MIX).schedule(200, 1, 1_000_000, 7));
		assertThat(calls.size()).isBetween(17_000, 23_000);
		assertThat(calls.stream().filter((call) -> call.workspace().equals("a")).count() / (double) calls.size())
			.isBetween(0.73, 0.77);
		assertThat(mix(MIX).schedule(200, 1, 500, 7)).hasSize(500).isEqualTo(calls.subList(0, 500));
	}

	/** Guards against a mix whose bursts leave a negative rate between them. */
	@Test
	void refusesImpossibleBursts() {
		assertThatThrownBy(() -> mix(MIX.replace("0.1", "0.3"))).isInstanceOf(IOException.class)
			.hasMessageContaining("bursts");
	}

	/** Guards against answers that are cut, mixed up or foreign and count as complete. */
	@ParameterizedTest
	@CsvSource(delimiter = ';', quoteCharacter = '`',
			textBlock = """
					chunk {"content":"for r"}|chunk {"content":" end"}|outcome {"outcome":"complete","requestId":"r","answer":"for r end"};``
					chunk {"content":"for r"}|outcome {"outcome":"complete","requestId":"r","answer":"for r end"}             ;incomplete
					chunk {"content":"for r"}                                                                                 ;incomplete
					outcome {"outcome":"complete","requestId":"r","answer":"for r"}                                           ;incomplete
					outcome {"outcome":"complete","requestId":"r","answer":"for q end"}                                       ;foreign
					chunk {"content":"x"}|restart {}|outcome {"outcome":"not_run","requestId":"r","reason":"overloaded"}      ;``
					""")
	void detectsFaultyAnswers(String events, String fault) throws IOException {
		Buffer stream = new Buffer();
		for (String event : events.split("\\|")) {
			int space = event.indexOf(' ');
			stream.writeUtf8("event: " + event.substring(0, space) + "\ndata: " + event.substring(space + 1) + "\n\n");
		}
		assertThat(LoadAnswer.ofStream(stream, List.of("for {requestId}", "end"), "").fault()).isEqualTo(fault);
	}

	/** Guards against latency that leaves out the wait for earlier, slow answers. */
	@Test
	void latencyCountsFromTheIntendedSendTime() throws IOException, InterruptedException {
		try (MockWebServer server = new MockWebServer()) {
			server.setDispatcher(new Dispatcher() {
				@Override
				public MockResponse dispatch(RecordedRequest request) {
					return new MockResponse().setHeadersDelay(100, TimeUnit.MILLISECONDS)
						.setBody("{\"outcome\":\"complete\",\"answer\":\"\"}");
				}
			});
			LoadMix mix = mix(MIX);
			List<LoadMix.PlannedCall> calls = mix.schedule(1, 1, 5, 1);
			try (LoadRun run = new LoadRun(mix, server.url("/"), null, 1, Duration.ofSeconds(5), 1)) {
				assertThat(run.send(calls, Duration.ofSeconds(10))).isTrue();
				double last = 500 - calls.get(4).sendMicros() / 1_000.0;
				assertThat(run.viaGateway(0).latencyMillis(100)).isGreaterThan(last);
			}
		}
	}

}
