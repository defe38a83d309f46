package org.magnoliahub.report;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import org.magnoliahub.model.RequestRecord;

/**
 * Form of an object: JSON lines, the header first and then one record per line. Unknown
 * fields are ignored, so that a newer version can add some.
 */
final class RecordCodec {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.addModule(new JavaTimeModule())
		.disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES,
				DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
		.build();

	private RecordCodec() {
	}

	static byte[] encode(RecordBatch batch) {
		StringBuilder text = new StringBuilder(line(batch.header()));
		batch.records().forEach((record) -> text.append('\n').append(line(record)));
		return text.append('\n').toString().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Decodes an object.
	 * @param content the object's content
	 * @return the batch
	 * @throws IllegalArgumentException if the content is malformed or cut off
	 */
	static RecordBatch decode(byte[] content) {
		String[] lines = new String(content, StandardCharsets.UTF_8).split("\n");
		try {
			RecordBatch.Header header = MAPPER.readValue(lines[0], RecordBatch.Header.class);
			List<RequestRecord> records = new ArrayList<>(lines.length - 1);
			for (int i = 1; i < lines.length; i++) {
				records.add(MAPPER.readValue(lines[i], RequestRecord.class));
			}
			if (records.size() != header.kept()) {
				throw new IllegalArgumentException(
						"expected " + header.kept() + " records, but the object has " + records.size());
			}
			return new RecordBatch(header, records);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("object with records is malformed: " + ex.getOriginalMessage(), ex);
		}
	}

	private static String line(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot encode " + value.getClass().getName(), ex);
		}
	}

}
