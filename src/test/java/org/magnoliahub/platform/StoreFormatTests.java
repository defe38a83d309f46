package org.magnoliahub.platform;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards the calls of the store and what is read from its answers.
 */
class StoreFormatTests {

	private final StoreFormat format = new StoreFormat();

	private StoredRows read(String body) throws PlatformFormatException {
		return this.format.rows(body.getBytes(StandardCharsets.UTF_8));
	}

	@Test
	void readsRowsAndRemovals() throws PlatformFormatException {
		StoredRows rows = read("{\"rows\":[{\"table\":\"t\",\"key\":\"a\",\"value\":\"aGk=\",\"ver\":4},"
				+ "{\"key\":\"b\",\"tombstone\":true,\"ver\":5}],\"ver\":9,\"has_more\":true}");
		assertThat(rows.revision()).isEqualTo(9);
		assertThat(rows.incomplete()).isTrue();
		assertThat(new String(rows.rows().get(0).value(), StandardCharsets.UTF_8)).isEqualTo("hi");
		assertThat(rows.rows().get(1).removed()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(
			strings = { "", "{", "{}", "{\"rows\":[]}", "{\"rows\":[{\"key\":\"a\",\"value\":\"%%\"}],\"ver\":\"1\"}",
					"{\"rows\":[],\"ver\":99999999999999999999}", "{\"rows\":7,\"ver\":1}" })
	void otherBodiesAreRejected(String body) {
		assertThatExceptionOfType(PlatformFormatException.class).isThrownBy(() -> read(body));
	}

	/**
	 * Guards against an answer that is given up because one of its rows cannot be read.
	 */
	@ParameterizedTest
	@ValueSource(
			strings = { "{\"key\":\"other\",\"value\":\"%%\",\"ver\":5}", "{\"key\":\"other\",\"value\":7,\"ver\":5}",
					"{\"key\":\"other\",\"ver\":5}", "{\"key\":7,\"value\":\"aGk=\",\"ver\":5}", "{\"value\":\"aGk=\"}",
					"{}", "7", "null", "[]", "{\"key\":\"other\",\"value\":\"aGk=\",\"ver\":99999999999999999999}" })
	void malformedRowDoesNotLoseTheOthers(String malformed) throws PlatformFormatException {
		StoredRows rows = read("{\"rows\":[{\"key\":\"a\",\"value\":\"aGk=\",\"ver\":4}," + malformed
				+ ",{\"key\":\"z\",\"value\":\"aGk=\",\"ver\":6}],\"ver\":9}");
		assertThat(rows.rows()).extracting(StoredRow::key).startsWith("a").endsWith("z").doesNotContain("", "7");
		assertThat(rows.rows()).filteredOn((row) -> row.key().equals("other"))
			.allSatisfy((row) -> assertThat(row.value()).isEmpty());
	}

	/**
	 * Guards against a list that ends at a row without a key.
	 */
	/** Guards against an answer that ends early and is taken for a shorter list. */
	@Test
	void answerThatEndsEarlyIsRejected() {
		String body = "{\"rows\":[{\"key\":\"a\",\"value\":\"\",\"ver\":4},{\"key\":\"b\",\"value\":\"\",\"ver\":5}],"
				+ "\"ver\":90,\"has_more\":false}";
		for (int end = 0; end < body.length(); end++) {
			String part = body.substring(0, end);
			assertThatExceptionOfType(PlatformFormatException.class).as(part).isThrownBy(() -> read(part));
		}
	}

	@Test
	void pageGoesOnBehindTheLastRowWithAKey() throws PlatformFormatException {
		StoredRows rows = read("{\"rows\":[{\"key\":\"a\",\"value\":\"\",\"ver\":4},{\"value\":\"\"}],"
				+ "\"ver\":9,\"has_more\":true}");
		assertThat(rows.incomplete()).isTrue();
		assertThat(rows.rows()).extracting(StoredRow::key).containsExactly("a");
	}

	@Test
	void feedIsTheSameForAllRevisionsOfOneTable() {
		String feed = StoreFormat.feed(this.format.feedTarget("t", 12, 100));
		assertThat(StoreFormat.feed(this.format.feedTarget("t", 13, 0))).isEqualTo(feed);
		assertThat(StoreFormat.feed(this.format.feedTarget("t2", 12, 100))).isNotEqualTo(feed);
		assertThat(StoreFormat.feed(this.format.readTarget("t", ""))).isEmpty();
		assertThat(StoreFormat.feed(StoreFormat.WRITE_PATH)).isEmpty();
	}

	@Test
	void removalIsConditional() {
		String body = new String(this.format.remove("t", "k", 12), StandardCharsets.UTF_8);
		assertThat(body).contains("\"expected\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"k\",\"ver\":12}]")
			.contains("\"remove\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"k\"}]");
	}

	@Test
	void memberSurvivesTheStore() {
		MemberRecord member = new MemberRecord("gateway-1", "10.1.0.1:7740", 3);
		assertThat(MemberRecord.decode(new StoredRow("gateway-1", member.encode(), 1, false))).contains(member);
		assertThat(MemberRecord.decode(new StoredRow("x", new byte[] { 1 }, 1, false))).isEmpty();
	}

}
