package org.magnoliahub.experiment;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import okio.BufferedSource;

/**
 * What came back for one call.
 *
 * @param outcome outcome type, or {@code no_answer}
 * @param reason reason of a refusal or failure, empty text if there is none
 * @param requestId id of the request, empty text if unknown
 * @param fault {@code incomplete} or {@code foreign} if the answer is, else empty text
 * @param firstPartNanos time at which the first part arrived, 0 if there was none
 * @param parts number of parts of a streamed answer
 */
record LoadAnswer(String outcome, String reason, String requestId, String fault, long firstPartNanos, int parts) {

	static final String COMPLETE = "complete";

	static final String NOT_RUN = "not_run";

	static final String INCOMPLETE = "incomplete";

	static final String FOREIGN = "foreign";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	static LoadAnswer missing(String reason, boolean begun) {
		return new LoadAnswer("no_answer", reason, "", begun ? INCOMPLETE : "", 0, 0);
	}

	static LoadAnswer ofDocument(String body, List<String> expected, String key) {
		try {
			return of(MAPPER.readTree(body), expected, key, 0, 0);
		}
		catch (IOException ex) {
			return missing("malformed", true);
		}
	}

	/**
	 * Reads a stream of {@code chunk} events up to its {@code outcome} event.
	 * @param source the stream
	 * @param expected texts that a complete answer contains
	 * @param key the request's idempotency key, empty text if there is none
	 * @return the answer, incomplete if its parts differ from the final answer
	 * @throws IOException if the connection breaks
	 */
	static LoadAnswer ofStream(BufferedSource source, List<String> expected, String key) throws IOException {
		StringBuilder content = new StringBuilder();
		String event = "";
		long firstPart = 0;
		int parts = 0;
		for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
			if (line.startsWith("event: ")) {
				event = line.substring("event: ".length());
			}
			if (!line.startsWith("data: ")) {
				continue;
			}
			JsonNode data = MAPPER.readTree(line.substring("data: ".length()));
			if (event.equals("restart")) {
				content.setLength(0);
			}
			else if (event.equals("chunk")) {
				firstPart = (firstPart == 0) ? System.nanoTime() : firstPart;
				parts++;
				content.append(data.path("content").asText());
			}
			else if (event.equals("outcome")) {
				LoadAnswer answer = of(data, expected, key, firstPart, parts);
				boolean whole = parts == 0 || content.toString().equals(data.path("answer").asText());
				return (whole || !answer.isComplete()) ? answer : answer.withFault(INCOMPLETE);
			}
		}
		return missing("no_outcome_event", true);
	}

	private static LoadAnswer of(JsonNode json, List<String> expected, String key, long firstPartNanos, int parts) {
		String outcome = json.path("outcome").asText("");
		String requestId = json.path("requestId").asText("");
		if (outcome.isEmpty()) {
			return missing("no_outcome", true);
		}
		String fault = outcome.equals(COMPLETE) ? faultOf(json.path("answer").asText(), expected, requestId, key) : "";
		return new LoadAnswer(outcome, json.path("reason").asText(""), requestId, fault, firstPartNanos, parts);
	}

	private static String faultOf(String answer, List<String> expected, String requestId, String key) {
		for (String template : expected) {
			String text = template.replace("{requestId}", requestId).replace("{key}", key);
			if (!answer.contains(text)) {
				return template.contains("{") ? FOREIGN : INCOMPLETE;
			}
		}
		return "";
	}

	boolean isComplete() {
		return this.outcome.equals(COMPLETE);
	}

	LoadAnswer withFault(String newFault) {
		return new LoadAnswer(this.outcome, this.reason, this.requestId, newFault, this.firstPartNanos, this.parts);
	}

}
