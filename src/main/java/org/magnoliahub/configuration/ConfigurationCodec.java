package org.magnoliahub.configuration;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import org.magnoliahub.model.Configuration;

/**
 * Encodes changes, snapshots and rows as JSON. Unknown fields are ignored because a newer
 * process may have written them; a missing field is an error.
 */
public final class ConfigurationCodec {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.addModule(new JavaTimeModule())
		.disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
		.disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS, SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS)
		.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES,
				DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES,
				DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private ConfigurationCodec() {
	}

	/**
	 * Encodes a record of this package or a configuration.
	 * @param value the record
	 * @return the JSON text
	 */
	public static String encode(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot encode " + value.getClass().getName(), ex);
		}
	}

	/**
	 * Decodes a JSON text.
	 * @param <T> the record type
	 * @param text the JSON text
	 * @param type class of the record
	 * @return the decoded record
	 * @throws ConfigurationFormatException if the text is malformed or a value is out of
	 * range
	 */
	public static <T> T decode(String text, Class<T> type) throws ConfigurationFormatException {
		try {
			return MAPPER.readValue(text, type);
		}
		catch (JsonProcessingException ex) {
			throw new ConfigurationFormatException(
					"expected the JSON form of " + type.getSimpleName() + ": " + ex.getOriginalMessage(), ex);
		}
	}

	static byte[] encodeSnapshot(Configuration configuration) {
		return encode(configuration).getBytes(StandardCharsets.UTF_8);
	}

	static Configuration decodeSnapshot(byte[] content) throws ConfigurationFormatException {
		return decode(new String(content, StandardCharsets.UTF_8), Configuration.class);
	}

}
