package org.magnoliahub.platform;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import org.magnoliahub.configurationcheck.Finding;
import org.magnoliahub.configurationcheck.JsonPath;

/**
 * Reports parts of a JSON text that {@link JsonTree} drops: a field that occurs again in
 * the same object, and whatever follows the first value.
 */
final class RepeatedFields {

	private static final JsonFactory FACTORY = new JsonFactory();

	private final JsonParser parser;

	private final Consumer<Finding> findings;

	private RepeatedFields(JsonParser parser, Consumer<Finding> findings) {
		this.parser = parser;
		this.findings = findings;
	}

	/**
	 * Checks a text.
	 * @param bytes a text that {@link JsonTree} has read, so that its depth is limited
	 * @param findings receives the findings
	 * @throws IOException if the first value is malformed
	 */
	static void check(byte[] bytes, Consumer<Finding> findings) throws IOException {
		try (JsonParser parser = FACTORY.createParser(bytes)) {
			RepeatedFields check = new RepeatedFields(parser, findings);
			check.readValue(parser.nextToken(), JsonPath.ROOT);
			check.readEnd();
		}
	}

	private void readValue(JsonToken token, JsonPath path) throws IOException {
		if (token == JsonToken.START_OBJECT) {
			readObject(path);
		}
		else if (token == JsonToken.START_ARRAY) {
			readArray(path);
		}
	}

	private void readObject(JsonPath path) throws IOException {
		Set<String> names = new HashSet<>();
		while (this.parser.nextToken() != JsonToken.END_OBJECT) {
			JsonPath field = path.field(this.parser.currentName());
			if (!names.add(this.parser.currentName())) {
				this.findings.accept(Finding.error(field,
						"the field occurs more than once in its object; gateways use the last one"));
			}
			readValue(this.parser.nextToken(), field);
		}
	}

	private void readArray(JsonPath path) throws IOException {
		int index = 0;
		JsonToken token = this.parser.nextToken();
		while (token != JsonToken.END_ARRAY) {
			readValue(token, path.element(index));
			index++;
			token = this.parser.nextToken();
		}
	}

	private void readEnd() throws IOException {
		boolean ended;
		try {
			ended = this.parser.nextToken() == null;
		}
		catch (JsonProcessingException ex) {
			ended = false;
		}
		if (!ended) {
			this.findings.accept(Finding.error(JsonPath.ROOT, "text follows the configuration; gateways ignore it"));
		}
	}

}
