package org.magnoliahub.platform;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Pattern;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.magnoliahub.serving.EndpointRecord;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.ServingConfiguration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against entries of other writers that end in an unchecked error, or in a value
 * that cannot be used. Each reader gets entries with random changes.
 */
class MalformedEntryFuzzTests {

	private static final String ENDPOINT = "{\"service\":\"s\",\"address\":\"10.1.0.9:80\",\"zone\":\"z\",\"slots\":4,"
			+ "\"state\":\"ready\",\"seq\":3,\"born\":1700000000000}";

	private static final String MEMBER = "{\"address\":\"10.1.0.1:7740\",\"incarnation\":3}";

	private static final String STAGE_RESULTS = "{\"items\":[{\"handle\":\"10.1.64.7:8080/91bd\"},{\"reason\":\"gone\"}]}";

	private static final String CONFIGURATION = "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"A.example\","
			+ "\"prefix\":\"/p/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":1400,\"priority\":0,"
			+ "\"traffic_split\":[{\"service\":\"s1\",\"weight\":90}],\"max_attempts\":2,"
			+ "\"stages\":[{\"service\":\"o\",\"after\":[0],\"size_bytes\":800}]}],\"services\":[{\"name\":\"o\","
			+ "\"pieces\":{\"slots\":1,\"batch\":12,\"call_ms\":240.0,\"headroom_mb\":14.5,\"handle_s\":4.0}}],"
			+ "\"limits\":{\"max_header_bytes\":1000,\"idle_timeout_ms\":15000},"
			+ "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"]}]}";

	private static final String ROWS = "{\"rows\":[{\"key\":\"a\",\"value\":\"aGk=\",\"ver\":4},"
			+ "{\"key\":\"b\",\"tombstone\":true,\"ver\":5}],\"ver\":9,\"has_more\":true}";

	private static final Pattern VALUE = Pattern.compile("\"[^\"]*\"|-?\\d+(\\.\\d+)?|true");

	private static final List<String> UNUSUAL_VALUES = List.of("null", "true", "[]", "{}", "-1", "0", "1e999",
			"-1e-999", "0.5", "9".repeat(30), "9".repeat(900), "9".repeat(2_000), "9223372036854775807",
			"-9223372036854775808", "4294967296", "\"\"", "\" \"", "\"\\u0000\"", "\"\\ud800\"", "\"a\\r\\nX: y\"",
			"\"10.1.0.9:99999\"", "\"999.1.1.1:80\"", "\"%%\"", "\"" + "x".repeat(70_000) + "\"",
			"[".repeat(900) + "]".repeat(900), "{\"a\":".repeat(900) + "1" + "}".repeat(900), "[".repeat(5_000));

	private static byte[] changed(String text, SplittableRandom random) {
		byte[] bytes = withUnusualValue(text, random).getBytes(StandardCharsets.UTF_8);
		int changes = random.nextInt(3);
		for (int change = 0; change < changes && bytes.length > 0; change++) {
			bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
		}
		return (random.nextInt(8) == 0) ? Arrays.copyOf(bytes, random.nextInt(bytes.length + 1)) : bytes;
	}

	private static String withUnusualValue(String text, SplittableRandom random) {
		List<String> values = VALUE.matcher(text).results().map((match) -> match.group()).toList();
		String value = UNUSUAL_VALUES.get(random.nextInt(UNUSUAL_VALUES.size()));
		return text.replace(values.get(random.nextInt(values.size())), value);
	}

	@Property(tries = 4_000, seed = "33")
	void endpointEntries(@ForAll long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		new EndpointRecordReader().read("i-1", changed(ENDPOINT, random))
			.ifPresent(MalformedEntryFuzzTests::checkEndpoint);
	}

	private static void checkEndpoint(EndpointRecord endpoint) {
		assertThat(endpoint.slots()).isPositive();
		assertThat(endpoint.sequence()).isNotNegative();
		assertThat(endpoint.processStartMillis()).isNotNegative();
		assertThat(endpoint.address()).matches("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}");
	}

	@Property(tries = 4_000, seed = "33")
	void memberRows(@ForAll long seed) {
		byte[] value = changed(MEMBER, new SplittableRandom(seed));
		MemberRecord.decode(new StoredRow("gateway-1", value, 1, false))
			.ifPresent((member) -> assertThat(member.address()).matches("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}"));
	}

	@Property(tries = 4_000, seed = "33")
	void configurations(@ForAll long seed) {
		try {
			ServingConfiguration configuration = new ConfigurationReader()
				.read(changed(CONFIGURATION, new SplittableRandom(seed)));
			assertThat(configuration.version()).isNotNegative();
			assertThat(configuration.limits().maximumHeaderBytes()).isNotNegative();
			assertThat(configuration.limits().idleTimeoutMillis()).isNotNegative();
		}
		catch (PlatformFormatException ex) {
			assertThat(ex.getMessage()).hasSizeLessThan(2_000);
		}
	}

	@Property(tries = 4_000, seed = "33")
	void rowsOfTheStore(@ForAll long seed) {
		try {
			new StoreFormat().rows(changed(ROWS, new SplittableRandom(seed)));
		}
		catch (PlatformFormatException ex) {
			assertThat(ex.getMessage()).hasSizeLessThan(2_000);
		}
	}

	@Property(tries = 4_000, seed = "33")
	void resultsOfStageCalls(@ForAll long seed) {
		try {
			List<PieceResult> results = new StageCallFormat()
				.results(changed(STAGE_RESULTS, new SplittableRandom(seed)), 2, "z");
			assertThat(results).extracting(PieceResult::handle)
				.allSatisfy((handle) -> assertThat(String.valueOf(handle)).matches("[!-+--~]{1,1024}"));
		}
		catch (PlatformFormatException ex) {
			assertThat(ex.getMessage()).hasSizeLessThan(2_000);
		}
	}

	@Property(tries = 2_000, seed = "33")
	void namesOfObjects(@ForAll long seed) {
		try {
			ObjectFormat.names(changed("{\"names\":[\"a\",\"b\"]}", new SplittableRandom(seed)));
		}
		catch (PlatformFormatException ex) {
			assertThat(ex.getMessage()).hasSizeLessThan(2_000);
		}
	}

}
