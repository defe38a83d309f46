package org.magnoliahub.enginehttp;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import okhttp3.Response;
import okio.BufferedSource;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.agent.EndpointEvent;
import org.magnoliahub.agent.EndpointException;
import org.magnoliahub.model.StageType;

/**
 * Reads the whole body of a response that is not streamed, extracts the result for the
 * stage type and splits it into parts that fit into a frame between agent and gateway.
 */
final class BufferedResponseReader extends ResponseReader {

	/** Maximum size of a part in characters, each encoded in at most 3 bytes of UTF-8. */
	static final int MAXIMUM_PART_CHARACTERS = 32 * 1024;

	private final ObjectMapper mapper;

	private final StageType stageType;

	private final JsonNode inputDocuments;

	private @Nullable Deque<EndpointEvent> events;

	BufferedResponseReader(ObjectMapper mapper, StageType stageType, JsonNode inputDocuments, EndpointExchange exchange,
			Response response) {
		super(exchange, response);
		this.mapper = mapper;
		this.stageType = stageType;
		this.inputDocuments = inputDocuments;
	}

	@Override
	protected EndpointEvent readEvent(BufferedSource source) throws IOException, EndpointException {
		if (this.events == null) {
			this.events = events(readBody(source));
		}
		return this.events.remove();
	}

	private Deque<EndpointEvent> events(String responseBody) throws IOException, EndpointException {
		if (this.stageType == StageType.SERVICE) {
			return splitIntoEvents(responseBody, 1);
		}
		JsonNode document = this.mapper.readTree(responseBody);
		JsonNode result = switch (this.stageType) {
			case ENCODE -> document.path("data").path(0).path("embedding");
			case RETRIEVE -> document.path("documents");
			default -> rankDocuments(document.path("results"));
		};
		if (!result.isArray()) {
			throw new EndpointException("response is not in the form of " + this.stageType, true);
		}
		long units = document.path("usage").path("total_tokens").asLong(1);
		return splitIntoEvents(this.mapper.writeValueAsString(result), Math.max(0, units));
	}

	// Returns the input documents in descending order of their relevance scores. Results
	// that are not an array are returned unchanged, so that the caller rejects them.
	private JsonNode rankDocuments(JsonNode results) throws EndpointException {
		List<JsonNode> sortedResults = new ArrayList<>();
		results.forEach(sortedResults::add);
		sortedResults.sort(
				Comparator.comparingDouble((JsonNode result) -> result.path("relevance_score").asDouble()).reversed());
		ArrayNode rankedDocuments = this.mapper.createArrayNode();
		for (JsonNode result : sortedResults) {
			JsonNode document = this.inputDocuments.path(result.path("index").asInt(-1));
			if (document.isMissingNode()) {
				throw new EndpointException("rerank result names no document", true);
			}
			rankedDocuments.add(document);
		}
		return results.isArray() ? rankedDocuments : results;
	}

	private static Deque<EndpointEvent> splitIntoEvents(String content, long units) {
		Deque<EndpointEvent> events = new ArrayDeque<>();
		int start = 0;
		while (start < content.length()) {
			int end = Math.min(content.length(), start + MAXIMUM_PART_CHARACTERS);
			// Keep surrogate pairs together.
			if (end < content.length() && Character.isHighSurrogate(content.charAt(end - 1))) {
				end--;
			}
			events.add(new EndpointEvent.Chunk(content.substring(start, end)));
			start = end;
		}
		events.add(new EndpointEvent.Finished(units));
		return events;
	}

}
