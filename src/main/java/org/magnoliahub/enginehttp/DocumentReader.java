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
 * Reads a response that is one JSON document and splits the result into parts that fit
 * into a frame between agent and gateway.
 */
final class DocumentReader extends ResponseReader {

	/** Largest part, in characters; one takes up to 3 bytes on the wire. */
	static final int PART_CHARACTERS = 32 * 1024;

	private final ObjectMapper mapper;

	private final StageType type;

	private final JsonNode documents;

	private @Nullable Deque<EndpointEvent> events;

	DocumentReader(ObjectMapper mapper, StageType type, JsonNode documents, Exchange exchange, Response response) {
		super(exchange, response);
		this.mapper = mapper;
		this.type = type;
		this.documents = documents;
	}

	@Override
	protected EndpointEvent read(BufferedSource source) throws IOException, EndpointException {
		if (this.events == null) {
			this.events = events(readAll(source));
		}
		return this.events.remove();
	}

	private Deque<EndpointEvent> events(String body) throws IOException, EndpointException {
		if (this.type == StageType.SERVICE) {
			return split(body, 1);
		}
		JsonNode document = this.mapper.readTree(body);
		JsonNode result = switch (this.type) {
			case ENCODE -> document.path("data").path(0).path("embedding");
			case RETRIEVE -> document.path("documents");
			default -> ranked(document.path("results"));
		};
		if (!result.isArray()) {
			throw new EndpointException("response is not in the form of " + this.type, true);
		}
		long units = document.path("usage").path("total_tokens").asLong(1);
		return split(this.mapper.writeValueAsString(result), Math.max(0, units));
	}

	private JsonNode ranked(JsonNode results) throws EndpointException {
		List<JsonNode> sorted = new ArrayList<>();
		results.forEach(sorted::add);
		sorted.sort(
				Comparator.comparingDouble((JsonNode result) -> result.path("relevance_score").asDouble()).reversed());
		ArrayNode ranked = this.mapper.createArrayNode();
		for (JsonNode result : sorted) {
			JsonNode document = this.documents.path(result.path("index").asInt(-1));
			if (document.isMissingNode()) {
				throw new EndpointException("rerank result names no document", true);
			}
			ranked.add(document);
		}
		return results.isArray() ? ranked : results;
	}

	private static Deque<EndpointEvent> split(String content, long units) {
		Deque<EndpointEvent> events = new ArrayDeque<>();
		int start = 0;
		while (start < content.length()) {
			int end = Math.min(content.length(), start + PART_CHARACTERS);
			if (end < content.length() && Character.isHighSurrogate(content.charAt(end - 1))) {
				end--;
			}
			events.add(new EndpointEvent.Part(content.substring(start, end)));
			start = end;
		}
		events.add(new EndpointEvent.Finished(units));
		return events;
	}

}
