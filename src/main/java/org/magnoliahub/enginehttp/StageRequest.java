package org.magnoliahub.enginehttp;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.model.StageOutput;

/**
 * Builds the JSON body of a call, as described in {@link HttpEndpointClient}.
 */
final class StageRequest {

	private static final int DEFAULT_MAXIMUM_TOKENS = 256;

	private static final int DEFAULT_TOP_K = 5;

	private final ObjectMapper mapper;

	private final StageCall call;

	private final JsonNode input;

	private final List<JsonNode> previous;

	private StageRequest(ObjectMapper mapper, StageCall call, JsonNode input, List<JsonNode> previous) {
		this.mapper = mapper;
		this.call = call;
		this.input = input;
		this.previous = previous;
	}

	static StageRequest of(ObjectMapper mapper, StageCall call) throws JsonProcessingException {
		List<JsonNode> previous = new ArrayList<>();
		for (StageOutput output : call.previous()) {
			previous.add(content(mapper, output.content()));
		}
		return new StageRequest(mapper, call, mapper.readTree(call.input()), previous);
	}

	private static JsonNode content(ObjectMapper mapper, String content) {
		if (content.startsWith("[")) {
			try {
				JsonNode parsed = mapper.readTree(content);
				if (isVector(parsed) || isDocuments(parsed)) {
					return parsed;
				}
			}
			catch (JsonProcessingException ex) {
				// Generated text may start with a bracket without being JSON.
			}
		}
		return mapper.getNodeFactory().textNode(content);
	}

	private static boolean isVector(JsonNode node) {
		return node.isArray() && !node.isEmpty() && all(node, true);
	}

	private static boolean isDocuments(JsonNode node) {
		return node.isArray() && all(node, false);
	}

	private static boolean all(JsonNode array, boolean number) {
		for (JsonNode element : array) {
			if (number ? !element.isNumber() : !element.isTextual()) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Builds the body.
	 * @param defaultModel model to name if the input names none
	 * @param priority urgency, 0 is most urgent
	 * @return the body as JSON
	 * @throws JsonProcessingException if the body cannot be written
	 */
	byte[] body(String defaultModel, int priority) throws JsonProcessingException {
		ObjectNode body = this.mapper.createObjectNode();
		switch (this.call.type()) {
			case GENERATE -> {
				body.put("model", model(defaultModel));
				body.put("prompt", generationPrompt());
				body.put("max_tokens", this.input.path("max_tokens").asInt(DEFAULT_MAXIMUM_TOKENS));
				body.put("stream", true);
				body.putObject("stream_options").put("include_usage", true);
				body.put("priority", priority);
			}
			case ENCODE -> {
				body.put("model", model(defaultModel));
				body.put("input", prompt());
			}
			case RETRIEVE -> {
				body.put("query", prompt());
				body.set("vector", vector());
				body.put("top_k", this.input.path("top_k").asInt(DEFAULT_TOP_K));
			}
			case RERANK -> {
				body.put("model", model(defaultModel));
				body.put("query", prompt());
				body.set("documents", documents());
			}
			case SERVICE -> {
				body.put("workspace", this.call.workspace());
				body.set("input", this.input);
				ArrayNode outputs = body.putArray("previous");
				this.call.previous()
					.forEach((output) -> outputs.addObject()
						.put("stage", output.stage())
						.put("content", output.content()));
			}
		}
		return this.mapper.writeValueAsBytes(body);
	}

	JsonNode documents() {
		JsonNode found = this.input.path("documents");
		for (JsonNode content : this.previous) {
			if (isDocuments(content)) {
				found = content;
			}
		}
		return found.isArray() ? found : this.mapper.createArrayNode();
	}

	private JsonNode vector() {
		JsonNode found = this.input.path("vector");
		for (JsonNode content : this.previous) {
			if (isVector(content)) {
				found = content;
			}
		}
		return found.isArray() ? found : this.mapper.createArrayNode();
	}

	private String model(String defaultModel) {
		return this.input.path("model").asText(defaultModel);
	}

	private String prompt() {
		return this.input.isTextual() ? this.input.textValue() : this.input.path("prompt").asText("");
	}

	private String generationPrompt() {
		StringBuilder prompt = new StringBuilder(prompt());
		documents().forEach((document) -> prompt.append("\n\n").append(document.asText()));
		this.previous.stream()
			.filter(JsonNode::isTextual)
			.forEach((text) -> prompt.append("\n\n").append(text.textValue()));
		return prompt.toString();
	}

}
