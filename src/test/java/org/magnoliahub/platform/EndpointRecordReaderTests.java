package org.magnoliahub.platform;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.serving.EndpointRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against sending work where another writer's entry points.
 */
class EndpointRecordReaderTests {

	private static final String ENTRY = "{\"service\":\"s\",\"address\":\"10.1.0.9:80\",\"zone\":\"z\",\"slots\":4,"
			+ "\"state\":\"ready\",\"seq\":3,\"born\":1700000000000}";

	private static Optional<EndpointRecord> read(String text) {
		return new EndpointRecordReader().read("i-1", text.getBytes(StandardCharsets.UTF_8));
	}

	@Test
	void readsAnEntry() {
		assertThat(read(ENTRY))
			.contains(new EndpointRecord("i-1", "s", "10.1.0.9:80", "z", 4, false, 1700000000000L, 3));
		assertThat(read(ENTRY.replace("ready", "draining")).orElseThrow().draining()).isTrue();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "\"ready\"|\"busy\"", "\"ready\"|1", "\"s\"|null", "10.1.0.9:80|nowhere",
					"10.1.0.9:80|10.1.0.9:99999", "\"slots\":4|\"slots\":\"4\"", "\"seq\":3|\"seq\":\"x\"", "{|[",
					"\"zone\":\"z\",|''" })
	void entriesOfAnotherShapeNameNoEndpoint(String part, String replacement) {
		assertThat(read(ENTRY.replace(part, replacement))).isEmpty();
	}

	/**
	 * Guards against an endpoint that is lost because of its cold time, and against one
	 * that is cold without an end.
	 */
	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "2900|2900", "0|0", "-1|0", "\"5\"|0", "null|0", "1.5|0", "1e400|0", "99999999999|600000" })
	void coldTimeIsANumberWithinBounds(String stated, long expected) {
		String entry = ENTRY.replace("\"seq\":3", "\"seq\":3,\"cold_left_ms\":" + stated);
		assertThat(read(entry).orElseThrow().coldLeftMillis()).isEqualTo(expected);
	}

	/**
	 * Guards against numbers that are cut to a long, which would make an entry of another
	 * writer older or newer than all others.
	 */
	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "\"seq\":3|\"seq\":18446744073709551617", "\"seq\":3|\"seq\":-1", "\"seq\":3|\"seq\":3.5",
					"\"seq\":3|\"seq\":1e400", "\"slots\":4|\"slots\":-4", "\"slots\":4|\"slots\":0",
					"\"slots\":4|\"slots\":4.0", "\"slots\":4|\"slots\":99999999999999999999",
					"1700000000000|17000000000000000000000", "1700000000000|-1", "1700000000000|1.5",
					"1700000000000|\"1700000000000\"", "1700000000000|[]" })
	void numbersOutOfRangeNameNoEndpoint(String part, String replacement) {
		assertThat(read(ENTRY.replace(part, replacement))).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "0", "65536", "-80", "+80", "8080808080", "" })
	void portsOutOfRangeNameNoEndpoint(String port) {
		assertThat(read(ENTRY.replace("10.1.0.9:80", "10.1.0.9:" + port))).isEmpty();
	}

	@Test
	void entryWithoutStartTimeNamesAnEndpoint() {
		assertThat(read(ENTRY.replace(",\"born\":1700000000000", "")).orElseThrow().processStartMillis()).isZero();
	}

	/**
	 * Guards against ids that cannot be sent in a header, or that add headers to a
	 * request.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", " ", "i 1", "i-1\r\nX: y", "i-1\n", "\u0000", "i-\u00e4", "i-\ud800" })
	void idsThatAreNoHeaderValueNameNoEndpoint(String id) {
		byte[] stored = ENTRY.getBytes(StandardCharsets.UTF_8);
		assertThat(new EndpointRecordReader().read(id, stored)).isEmpty();
	}

}
