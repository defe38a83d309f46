package org.magnoliahub.enginehttp;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.Response;
import okio.BufferedSource;
import org.magnoliahub.agent.EndpointEvent;
import org.magnoliahub.agent.EndpointException;

/**
 * Reads a completion that is streamed as server-sent events: one JSON object per
 * {@code data:} line, terminated by {@code data: [DONE]}. Other lines are ignored.
 */
final class CompletionStreamReader extends ResponseReader {

	private static final String DATA_PREFIX = "data:";

	private static final String TERMINAL_MARKER = "[DONE]";

	private final ObjectMapper mapper;

	private long remainingBytes = MAXIMUM_BODY_BYTES;

	private long partCount;

	// Negative until the stream reports its usage.
	private long reportedTokens = -1;

	CompletionStreamReader(ObjectMapper mapper, EndpointExchange exchange, Response response) {
		super(exchange, response);
		this.mapper = mapper;
	}

	@Override
	protected EndpointEvent readEvent(BufferedSource source) throws IOException, EndpointException {
		while (!source.exhausted()) {
			String data = readDataLine(source);
			if (data.equals(TERMINAL_MARKER)) {
				return new EndpointEvent.Finished((this.reportedTokens >= 0) ? this.reportedTokens : this.partCount);
			}
			String text = data.isEmpty() ? "" : extractText(this.mapper.readTree(data));
			if (!text.isEmpty()) {
				this.partCount++;
				return new EndpointEvent.Chunk(text);
			}
		}
		throw new EndpointException("stream ended without its terminal marker", true);
	}

	// Returns the data of the next line, or an empty string for other lines.
	private String readDataLine(BufferedSource source) throws IOException, EndpointException {
		long lineLength = source.indexOf((byte) '\n', 0, this.remainingBytes);
		if (lineLength < 0) {
			throw new EndpointException(
					(source.getBuffer().size() >= this.remainingBytes)
							? "stream is larger than " + MAXIMUM_BODY_BYTES + " bytes" : "stream ended within a line",
					true);
		}
		this.remainingBytes -= lineLength + 1;
		String line = source.readUtf8LineStrict();
		return line.startsWith(DATA_PREFIX) ? line.substring(DATA_PREFIX.length()).strip() : "";
	}

	// Returns the text of an event, which may be empty, and records the token count if
	// the event reports it.
	private String extractText(JsonNode event) throws EndpointException {
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
