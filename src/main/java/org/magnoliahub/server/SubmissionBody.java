package org.magnoliahub.server;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reads the body of a submission. Depth and sizes are bounded by the parser.
 */
final class SubmissionBody {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/** More than any engine generates for one request. */
	private static final int MAXIMUM_TOKENS = 1_000_000;

	private SubmissionBody() {
	}

	/**
	 * Reads a body.
	 * @param bytes the bytes
	 * @return a JSON object with a text field {@code class} and a field {@code input}
	 * @throws InvalidRequestException if the bytes are anything else
	 */
	static JsonNode parse(byte[] bytes) throws InvalidRequestException {
		JsonNode body;
		try {
			body = MAPPER.readTree(bytes);
		}
		catch (JsonProcessingException ex) {
			throw new InvalidRequestException("the body must be a JSON object, but is " + fault(ex));
		}
		catch (IOException ex) {
			throw new InvalidRequestException("the body could not be read: " + ex.getMessage());
		}
		if (body == null || !body.isObject() || !body.path("class").isTextual() || !body.has("input")) {
			throw new InvalidRequestException(
					"the body must be a JSON object with the text field 'class' and the field 'input'");
		}
		checkTokens(body.path("input").path("max_tokens"));
		return body;
	}

	private static void checkTokens(JsonNode tokens) throws InvalidRequestException {
		if (tokens.isMissingNode()) {
			return;
		}
		boolean inRange = tokens.isIntegralNumber() && tokens.canConvertToInt() && tokens.asInt() >= 1
				&& tokens.asInt() <= MAXIMUM_TOKENS;
		if (!inRange) {
			throw new InvalidRequestException("the field 'input.max_tokens' must be a whole number from 1 to "
					+ MAXIMUM_TOKENS + ", but was " + tokens);
		}
	}

	private static String fault(JsonProcessingException ex) {
		JsonLocation location = ex.getLocation();
		// A body beyond the parser's bounds, such as its depth, has no location.
		if (location == null) {
			return "too deep or too large: " + ex.getOriginalMessage();
		}
		return "malformed at line " + location.getLineNr() + ", column " + location.getColumnNr();
	}

}
