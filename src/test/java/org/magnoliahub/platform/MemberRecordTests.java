package org.magnoliahub.platform;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against rows of other writers that count as gateways, since the number of
 * gateways divides the retry budget and every link needs an address.
 */
class MemberRecordTests {

	private static Optional<MemberRecord> decode(String key, String value) {
		return MemberRecord.decode(new StoredRow(key, value.getBytes(StandardCharsets.UTF_8), 1, false));
	}

	@Test
	void readsItsOwnForm() {
		MemberRecord member = new MemberRecord("gateway-1", "10.1.0.1:7740", Long.MAX_VALUE);
		assertThat(MemberRecord.decode(new StoredRow("gateway-1", member.encode(), 1, false))).contains(member);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "[]", "{", "{\"address\":\"10.1.0.1:7740\"}", "{\"incarnation\":3}",
			"{\"address\":7,\"incarnation\":3}", "{\"address\":\"999.1.1.1:80\",\"incarnation\":3}",
			"{\"address\":\"10.1.0.1:0\",\"incarnation\":3}", "{\"address\":\"10.1.0.1:99999\",\"incarnation\":3}",
			"{\"address\":\"a.example:80\",\"incarnation\":3}", "{\"address\":\"10.1.0.1:7740\",\"incarnation\":\"3\"}",
			"{\"address\":\"10.1.0.1:7740\",\"incarnation\":99999999999999999999}" })
	void otherRowsNameNoGateway(String value) {
		assertThat(decode("gateway-1", value)).isEmpty();
	}

	@Test
	void rowWithoutAKeyNamesNoGateway() {
		assertThat(decode("", "{\"address\":\"10.1.0.1:7740\",\"incarnation\":3}")).isEmpty();
	}

}
