package org.magnoliahub.process;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the path of a request through all stages as separate processes.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ServingPathIT {

	private static final String DRAFT = "{\"class\":\"draft\",\"input\":{\"prompt\":\"hello\",\"max_tokens\":4}}";

	private static final String JSON = "application/json";

	private final ObjectMapper mapper = new ObjectMapper();

	private ProcessSystem system;

	@BeforeAll
	void start() throws IOException {
		this.system = ProcessSystem.start(1, 20);
	}

	@AfterAll
	void stop() {
		this.system.close();
	}

	@Test
	void requestPassesThreeStages() throws IOException {
		JsonNode answer = this.mapper.readTree(this.system.submit(0, "report", "", DRAFT, JSON));
		assertThat(answer.path("outcome").asText()).isEqualTo("complete");
		String id = answer.path("requestId").asText();
		assertThat(answer.path("answer").asText()).isEqualTo("request " + id + ": t1 t2 t3");
		for (String endpoint : new String[] { "encoder-0", "retriever-0", "model-0" }) {
			assertThat(this.system.get(this.system.backEnd(endpoint).port(), "/runs")).contains(id);
		}
		assertThat(this.system.get(this.system.gateway(0).port(), "/v1/requests/" + id)).contains("complete");
	}

	@Test
	void streamEndsWithItsOutcome() throws IOException {
		String stream = this.system.submit(0, "report", "", DRAFT, "text/event-stream");
		assertThat(stream).contains("event: chunk").contains("event: outcome");
		assertThat(stream.substring(stream.lastIndexOf("data: "))).contains("\"outcome\":\"complete\"");
	}

	@Test
	void repeatedOrderRunsOnceAndGetsTheSameAnswer() throws IOException {
		JsonNode first = this.system.order(0, "order-1");
		JsonNode second = this.system.order(0, "order-1");
		assertThat(first.path("outcome").asText()).isEqualTo("complete");
		assertThat(second.path("answer")).isEqualTo(first.path("answer"));
		assertThat(this.system.orderRuns()).containsEntry("order-1", 1);
		assertThat(this.system.get(this.system.gateway(0).port(), "/v1/workspaces/hakodate/outcomes/order-1"))
			.contains("complete");
	}

	/**
	 * Guards against an answer that only speaks of the body of a request for a pipeline
	 * that does not exist.
	 */
	@Test
	void unknownPipelineIsNamedThoughTheBodyIsIncomplete() throws IOException {
		assertThat(this.system.submit(0, "absent", "", "{\"class\":\"draft\"}", JSON)).contains("pipeline 'absent'")
			.contains("the field 'input'");
	}

	@ParameterizedTest
	@CsvSource(delimiter = ';', quoteCharacter = '`', textBlock = """
			report;   ;{"class":"draft"                         ;invalid_request
			report;   ;[]                                       ;invalid_request
			report;   ;{"class":"draft"}                        ;invalid_request
			absent;   ;{"class":"draft","input":{}}             ;invalid_request
			report;   ;{"class":"absent","input":{}}            ;invalid_request
			filing;   ;{"class":"draft","input":{}}             ;invalid_request
			filing;   ;{"class":"stamp","input":{}}             ;idempotency_key_required
			""")
	void badInputGetsATypedRefusal(String pipeline, String key, String body, String reason) throws IOException {
		JsonNode answer = this.mapper.readTree(this.system.submit(0, pipeline, (key != null) ? key : "", body, JSON));
		assertThat(answer.path("outcome").asText()).isEqualTo("not_run");
		assertThat(answer.path("reason").asText()).isEqualTo(reason);
		assertThat(answer.path("detail").asText()).isNotBlank();
	}

	@Test
	void oversizedBodyGetsATypedRefusal() throws IOException {
		String body = "{\"class\":\"draft\",\"input\":\"" + "x".repeat(1_100_000) + "\"}";
		JsonNode answer = this.mapper.readTree(this.system.submit(0, "report", "", body, JSON));
		assertThat(answer.path("outcome").asText()).isEqualTo("not_run");
	}

	@Test
	void oversizedHeaderGetsATypedRefusal() throws IOException {
		JsonNode answer = this.mapper.readTree(this.system.submit(0, "report", "k".repeat(20_000), DRAFT, JSON));
		assertThat(answer.path("outcome").asText()).isEqualTo("not_run");
		assertThat(answer.path("reason").asText()).isEqualTo("invalid_request");
	}

	@Test
	void spentDeadlineGetsATypedRefusal() throws IOException {
		JsonNode answer = this.mapper.readTree(this.system.submit(0, "report", "", DRAFT, JSON, "0"));
		assertThat(answer.path("reason").asText()).isEqualTo("deadline_exceeded");
	}

}
