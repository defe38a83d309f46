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
 * Builds the JSON request body of a stage call in the format that
 * {@link HttpEndpointClient} describes.
 */
final class StageRequest {

	private static final int DEFAULT_MAXIMUM_TOKENS = 256;

	private static final int DEFAULT_TOP_K = 5;

	private final ObjectMapper mapper;

	private final StageCall call;

	private final JsonNode input;

	private final List<JsonNode> previousContents;

	private StageRequest(ObjectMapper mapper, StageCall call, JsonNode input, List<JsonNode> previousContents) {
		this.mapper = mapper;
		this.call = call;
		this.input = input;
		this.previousContents = previousContents;
	}

	static StageRequest of(ObjectMapper mapper, StageCall call) throws JsonProcessingException {
		List<JsonNode> previousContents = new ArrayList<>();
		for (StageOutput output : call.previous()) {
			previousContents.add(parseContent(mapper, output.content()));
		}
		return new StageRequest(mapper, call, mapper.readTree(call.input()), previousContents);
	}

	private static JsonNode parseContent(ObjectMapper mapper, String content) {
		if (content.startsWith("[")) {
			try {
				JsonNode parsed = mapper.readTree(content);
				if (isVector(parsed) || isDocuments(parsed)) {
					return parsed;
				}
			}
			catch (JsonProcessingException ex) {
				// Not JSON: generated text may start with a bracket, too.
			}
		}
		return mapper.getNodeFactory().textNode(content);
	}

	private static boolean isVector(JsonNode node) {
		return node.isArray() && !node.isEmpty() && containsOnly(node, true);
	}

	private static boolean isDocuments(JsonNode node) {
		return node.isArray() && containsOnly(node, false);
	}

	private static boolean containsOnly(JsonNode array, boolean numeric) {
		for (JsonNode element : array) {
			if (numeric ? !element.isNumber() : !element.isTextual()) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Builds the request body.
	 * @param defaultModel model to request if the input does not specify one
	 * @param priority priority of the request, 0 is the highest
	 * @return the body as JSON
	 * @throws JsonProcessingException if the body cannot be serialized
	 */
	byte[] buildBody(String defaultModel, int priority) throws JsonProcessingException {
		ObjectNode body = this.mapper.createObjectNode();
		switch (this.call.type()) {
			case GENERATE -> {
				body.put("model", modelOrDefault(defaultModel));
				body.put("prompt", generationPrompt());
				body.put("max_tokens", this.input.path("max_tokens").asInt(DEFAULT_MAXIMUM_TOKENS));
				body.put("stream", true);
				body.putObject("stream_options").put("include_usage", true);
				body.put("priority", priority);
			}
			case ENCODE -> {
				body.put("model", modelOrDefault(defaultModel));
				body.put("input", prompt());
			}
			case RETRIEVE -> {
				body.put("query", prompt());
				body.set("vector", vector());
				body.put("top_k", this.input.path("top_k").asInt(DEFAULT_TOP_K));
			}
			case RERANK -> {
				body.put("model", modelOrDefault(defaultModel));
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

	/**
	 * Returns the documents of the call: those of the last earlier stage whose output is
	 * a document array, otherwise those of the input.
	 * @return the documents as an array, empty if there are none
	 */
	JsonNode documents() {
		JsonNode selected = this.input.path("documents");
		for (JsonNode content : this.previousContents) {
			if (isDocuments(content)) {
				selected = content;
			}
		}
		return selected.isArray() ? selected : this.mapper.createArrayNode();
	}

	private JsonNode vector() {
		JsonNode selected = this.input.path("vector");
		for (JsonNode content : this.previousContents) {
			if (isVector(content)) {
				selected = content;
			}
		}
		return selected.isArray() ? selected : this.mapper.createArrayNode();
	}

	private String modelOrDefault(String defaultModel) {
		return this.input.path("model").asText(defaultModel);
	}

	private String prompt() {
		return this.input.isTextual() ? this.input.textValue() : this.input.path("prompt").asText("");
	}

	private String generationPrompt() {
		StringBuilder prompt = new StringBuilder(prompt());
		documents().forEach((document) -> prompt.append("\n\n").append(document.asText()));
		this.previousContents.stream()
			.filter(JsonNode::isTextual)
			.forEach((text) -> prompt.append("\n\n").append(text.textValue()));
		return prompt.toString();
	}

}
