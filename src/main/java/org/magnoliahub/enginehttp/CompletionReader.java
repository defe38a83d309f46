package org.magnoliahub.enginehttp;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.Response;
import okio.BufferedSource;
import org.magnoliahub.agent.EndpointEvent;
import org.magnoliahub.agent.EndpointException;

/**
 * Reads a streamed completion: lines {@code data: {...}} up to {@code data: [DONE]}.
 */
final class CompletionReader extends ResponseReader {

	private static final String DATA_PREFIX = "data:";

	private static final String TERMINAL_MARKER = "[DONE]";

	private final ObjectMapper mapper;

	private long remainingBytes = MAXIMUM_BODY_BYTES;

	private long parts;

	private long reportedTokens = -1;

	CompletionReader(ObjectMapper mapper, Exchange exchange, Response response) {
		super(exchange, response);
		this.mapper = mapper;
	}

	@Override
	protected EndpointEvent read(BufferedSource source) throws IOException, EndpointException {
		while (!source.exhausted()) {
			String data = readData(source);
			if (data.equals(TERMINAL_MARKER)) {
				return new EndpointEvent.Finished((this.reportedTokens >= 0) ? this.reportedTokens : this.parts);
			}
			String text = data.isEmpty() ? "" : textOf(this.mapper.readTree(data));
			if (!text.isEmpty()) {
				this.parts++;
				return new EndpointEvent.Part(text);
			}
		}
		throw new EndpointException("stream ended without its terminal marker", true);
	}

	private String readData(BufferedSource source) throws IOException, EndpointException {
		long end = source.indexOf((byte) '\n', 0, this.remainingBytes);
		if (end < 0) {
			throw new EndpointException(
					(source.getBuffer().size() >= this.remainingBytes)
							? "stream is larger than " + MAXIMUM_BODY_BYTES + " bytes" : "stream ended within a line",
					true);
		}
		this.remainingBytes -= end + 1;
		String line = source.readUtf8LineStrict();
		return line.startsWith(DATA_PREFIX) ? line.substring(DATA_PREFIX.length()).strip() : "";
	}

	private String textOf(JsonNode event) throws EndpointException {
		if (event.hasNonNull("error")) {
			throw new EndpointException("back end reported an error in the stream", true);
		}
		JsonNode tokens = event.path("usage").path("completion_tokens");
		if (tokens.canConvertToLong()) {
			this.reportedTokens = Math.max(0, tokens.longValue());
		}
		return event.path("choices").path(0).path("text").asText("");
	}

}
