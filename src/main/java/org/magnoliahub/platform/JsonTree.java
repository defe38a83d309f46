package org.magnoliahub.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads and writes JSON with the streaming parser alone. An object mapper is not used,
 * because creating one takes a third of the time that a gateway needs to start.
 */
final class JsonTree {

	/**
	 * Maximum nesting depth. Values are read recursively on an event loop whose stack is
	 * too small for the parser's default of 1,000; texts of the platform need less than
	 * ten.
	 */
	static final int MAXIMUM_DEPTH = 64;

	private static final JsonFactory FACTORY = new JsonFactory();

	private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

	private JsonTree() {
	}

	/**
	 * Reads the first value of a text.
	 * @param bytes the text, in UTF-8
	 * @return the value, a missing node if there is none
	 * @throws IOException if the text is malformed or nested too deeply
	 */
	static JsonNode read(byte[] bytes) throws IOException {
		try (JsonParser parser = FACTORY.createParser(bytes)) {
			JsonToken first = parser.nextToken();
			return (first != null) ? value(parser, first) : MissingNode.getInstance();
		}
	}

	private static JsonNode value(JsonParser parser, JsonToken token) throws IOException {
		return switch (token) {
			case START_OBJECT -> object(parser);
			case START_ARRAY -> array(parser);
			case VALUE_STRING -> NODES.textNode(parser.getText());
			case VALUE_NUMBER_INT -> integer(parser);
			case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
			case VALUE_TRUE -> NODES.booleanNode(true);
			case VALUE_FALSE -> NODES.booleanNode(false);
			case VALUE_NULL -> NODES.nullNode();
			default -> throw new JsonParseException(parser, "unexpected " + token);
		};
	}

	private static JsonNode integer(JsonParser parser) throws IOException {
		return switch (parser.getNumberType()) {
			case INT -> NODES.numberNode(parser.getIntValue());
			case LONG -> NODES.numberNode(parser.getLongValue());
			default -> NODES.numberNode(parser.getBigIntegerValue());
		};
	}

	private static JsonNode object(JsonParser parser) throws IOException {
		checkDepth(parser);
		ObjectNode object = NODES.objectNode();
		while (parser.nextToken() != JsonToken.END_OBJECT) {
			String name = parser.currentName();
			object.set(name, value(parser, next(parser)));
		}
		return object;
	}

	private static JsonNode array(JsonParser parser) throws IOException {
		checkDepth(parser);
		ArrayNode array = NODES.arrayNode();
		JsonToken token = next(parser);
		while (token != JsonToken.END_ARRAY) {
			array.add(value(parser, token));
			token = next(parser);
		}
		return array;
	}

	private static void checkDepth(JsonParser parser) throws IOException {
		if (parser.getParsingContext().getNestingDepth() > MAXIMUM_DEPTH) {
			throw new JsonParseException(parser, "nested deeper than " + MAXIMUM_DEPTH + " levels");
		}
	}

	private static JsonToken next(JsonParser parser) throws IOException {
		JsonToken token = parser.nextToken();
		if (token == null) {
			throw new JsonParseException(parser, "unexpected end");
		}
		return token;
	}

	/**
	 * Writes a text.
	 * @param content writes the values
	 * @return the text, in UTF-8
	 */
	static byte[] write(Content content) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (JsonGenerator json = FACTORY.createGenerator(bytes)) {
			content.write(json);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("writing to memory failed", ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * What a text consists of.
	 */
	@FunctionalInterface
	interface Content {

		/**
		 * Writes the values.
		 * @param json where to write them
		 * @throws IOException if a value cannot be written
		 */
		void write(JsonGenerator json) throws IOException;

	}

}
