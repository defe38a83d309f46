package org.magnoliahub.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliahub.serving.PromptEvidence;

/**
 * Rows in which gateways state their evidence about parts of prompts, with the age of
 * each end.
 */
public final class PromptEvidenceFormat {

	private static final int HEXADECIMAL = 16;

	private PromptEvidenceFormat() {
	}

	/**
	 * Writes a row.
	 * @param evidence the evidence of a gateway
	 * @param now its monotonic time, in milliseconds
	 * @return its value
	 */
	public static byte[] encode(List<PromptEvidence> evidence, long now) {
		return JsonTree.write((json) -> {
			json.writeStartObject();
			json.writeArrayFieldStart("parts");
			for (PromptEvidence item : evidence) {
				json.writeStartObject();
				json.writeStringField("part", Long.toHexString(item.part()));
				json.writeBooleanField("answered", item.answered());
				json.writeBooleanField("blocked", item.blocked());
				json.writeObjectFieldStart("ends");
				for (Map.Entry<Long, Long> end : item.ends().entrySet()) {
					json.writeNumberField(Long.toHexString(end.getKey()), now - end.getValue());
				}
				json.writeEndObject();
				json.writeArrayFieldStart("cleared");
				for (long end : item.clearedEnds()) {
					json.writeString(Long.toHexString(end));
				}
				json.writeEndArray();
				json.writeEndObject();
			}
			json.writeEndArray();
			json.writeEndObject();
		});
	}

	/**
	 * Reads a row. The ages of ends count from now, so that clocks of gateways are not
	 * compared.
	 * @param value its value
	 * @param now monotonic time of the reader, in milliseconds
	 * @return the evidence; parts that cannot be read are left out
	 * @throws PlatformFormatException if the value is no such row
	 */
	public static List<PromptEvidence> decode(byte[] value, long now) throws PlatformFormatException {
		JsonNode parts;
		try {
			parts = JsonTree.read(value).path("parts");
		}
		catch (IOException ex) {
			throw new PlatformFormatException("the evidence cannot be read: " + ex.getMessage(), ex);
		}
		if (!parts.isArray()) {
			throw new PlatformFormatException("the evidence has no list of parts");
		}
		List<PromptEvidence> evidence = new ArrayList<>();
		for (JsonNode part : parts) {
			try {
				evidence.add(new PromptEvidence(number(part.path("part")), part.path("answered").asBoolean(false),
						part.path("blocked").asBoolean(false), ends(part.path("ends"), now),
						numbers(part.path("cleared"))));
			}
			catch (NumberFormatException ex) {
				// A part of another form accuses nothing.
				continue;
			}
		}
		return evidence;
	}

	private static Map<Long, Long> ends(JsonNode ages, long now) {
		Map<Long, Long> ends = new HashMap<>();
		ages.fields()
			.forEachRemaining((age) -> ends.put(Long.parseUnsignedLong(age.getKey(), HEXADECIMAL),
					now - Math.max(0, age.getValue().asLong())));
		return ends;
	}

	private static Set<Long> numbers(JsonNode list) {
		Set<Long> numbers = new HashSet<>();
		for (JsonNode item : list) {
			numbers.add(number(item));
		}
		return numbers;
	}

	private static long number(JsonNode item) {
		return Long.parseUnsignedLong(item.asText(), HEXADECIMAL);
	}

}
