package org.magnoliahub.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Guards the paths of operators at a gateway process.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OperatorIT {

	private static final String DRAFT = "{\"class\":\"draft\",\"input\":{\"prompt\":\"hello\",\"max_tokens\":4}}";

	private ProcessSystem system;

	@BeforeAll
	void start() throws IOException {
		this.system = ProcessSystem.start(1, 100);
	}

	@AfterAll
	void stop() {
		this.system.close();
	}

	private String query(String statement) throws IOException {
		return this.system.query(0, ProcessSystem.OPERATOR_TOKEN, statement);
	}

	@Test
	void storyOfARequestNamesItsStagesAtOnce() throws IOException {
		JsonNode answer = new ObjectMapper().readTree(this.system.submit(0, "report", "", DRAFT, "application/json"));
		String story = query("request " + answer.path("requestId").asText());
		assertThat(story).startsWith("200 ")
			.contains("stage encode, attempt 1", "stage retrieve", "stage generate", "at model-0: completed",
					"complete, within the deadline");
	}

	/**
	 * Guards against a drain that only the gateway in question knows, and against one
	 * that cannot be taken back.
	 */
	@Test
	void drainedEndpointGetsNoWorkUntilItReturns() throws IOException {
		assertThat(query("drain endpoint filing-0")).startsWith("200 ").contains("done, version");
		await().atMost(Duration.ofSeconds(20))
			.until(() -> query("endpoints where name = filing-0").contains("true      false"));
		for (int i = 0; i < 6; i++) {
			assertThat(this.system.order(0, "drained-" + i).path("outcome").asText()).isEqualTo("complete");
		}
		assertThat(this.system.get(this.system.backEnd("filing-0").port(), "/runs")).doesNotContain("drained-");
		assertThat(query("drain endpoint filing-0")).startsWith("409 ").contains("drains already");
		assertThat(query("return endpoint filing-0")).startsWith("200 ");
		await().atMost(Duration.ofSeconds(20))
			.until(() -> query("endpoints where name = filing-0").contains("false     true"));
		await().atMost(Duration.ofSeconds(20)).until(() -> {
			// One order at a time could always go to the other endpoint.
			IntStream.range(0, 12).parallel().forEach(this::orderAfterReturn);
			return this.system.get(this.system.backEnd("filing-0").port(), "/runs").contains("returned-");
		});
		assertThat(query("versions")).contains("accepted", "refused", "kanako", "put endpoint filing-0");
	}

	private void orderAfterReturn(int number) {
		try {
			this.system.order(0, "returned-" + number + "-" + System.nanoTime());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Guards against operator paths that callers can use, and against refused calls that
	 * leave no trace or leave the token.
	 */
	@Test
	void callsWithoutTokenAreRefusedCountedAndRecorded() throws IOException {
		assertThat(this.system.query(0, "wrong-token-of-someone", "leases")).startsWith("401 ");
		assertThat(this.system.query(0, "", "leases")).startsWith("401 ");
		assertThat(this.system.get(this.system.gateway(0).adminPort(), "/report")).contains("expected the header");
		assertThat(this.system.get(this.system.gateway(0).port(), "/report")).doesNotContain("Daily report");
		assertThat(this.system.get(this.system.gateway(0).adminPort(), "/metrics"))
			.contains("magnoliahub_operator_refused_total 3.0");
		String versions = query("versions");
		assertThat(versions).contains("unauthenticated", "1 calls, the latest of /query")
			.doesNotContain("wrong-token-of-someone")
			.doesNotContain(ProcessSystem.OPERATOR_TOKEN);
	}

}
