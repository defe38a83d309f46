package org.magnoliahub.coldstart;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.serving.EndpointDirectory;
import org.magnoliahub.serving.EndpointRecord;
import org.magnoliahub.serving.EndpointState;
import org.magnoliahub.serving.ServiceDefinition;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests to servers that are cold, and against limits on servers that
 * are not.
 */
class ColdServersTests {

	private static final long START = 30_000;

	private final EndpointDirectory directory = new EndpointDirectory();

	private final List<String> reports = new ArrayList<>();

	private final ColdServers servers = new ColdServers(new ColdBounds(1.5, 5, 4_000), "g", this.directory,
			(record, cause, coldMillis, intervalMillis) -> this.reports
				.add(record.id() + " " + cause + " " + coldMillis + " " + intervalMillis));

	@BeforeEach
	void informGateway() {
		this.servers.useServices(List.of(new ServiceDefinition("limited", "/h", null, false, 3_000, 14),
				new ServiceDefinition("free", "/h", null, false, 3_000, 0)));
		for (long now = 0; now <= START; now += 3_000) {
			this.servers.recordGateways(List.of("g"), now);
		}
	}

	private void read(String service, long sequence, long coldMillis, long now) {
		EndpointRecord record = new EndpointRecord("a", service, "10.0.0.1:80", "z1", 4, false, 1, sequence,
				coldMillis);
		this.directory.update(record);
		this.servers.recordRead(List.of(record), now);
	}

	// Returns how many requests the servers of a service get in a time.
	private int requests(String service, long from, long to) {
		int count = 0;
		for (long now = from; now < to; now++) {
			for (EndpointState endpoint : this.directory.availableEndpoints(service, now)) {
				endpoint.beginCall(now, 50, 0).end();
				count++;
			}
		}
		return count;
	}

	@Test
	void recordThatStatesColdAgainWithoutARestartLimitsTheServerAgain() {
		read("limited", 1, 2_000, START);
		assertThat(requests("limited", START, START + 1_000)).isEqualTo(13);
		read("limited", 2, 0, START + 1_000);
		assertThat(requests("limited", START + 1_000, START + 2_000)).isEqualTo(1_000);
		read("limited", 3, 3_000, START + 2_000);
		assertThat(requests("limited", START + 2_000, START + 3_000)).isEqualTo(13);
		assertThat(requests("limited", START + 5_000, START + 5_100)).isEqualTo(100);
		assertThat(this.reports).containsExactly("a RECORD 2000 72", "a RECORD 3000 72");
	}

	@Test
	void recordThatIsReadAgainDoesNotProlongTheColdTime() {
		read("limited", 1, 2_000, START);
		read("limited", 1, 2_000, START + 1_900);
		assertThat(requests("limited", START + 2_000, START + 2_100)).isEqualTo(100);
	}

	@Test
	void serviceWithoutAColdRateIsNotLimited() {
		read("free", 1, 3_000, START);
		this.servers.markZoneCold("z1", START);
		assertThat(requests("free", START, START + 1_000)).isEqualTo(1_000);
		assertThat(this.reports).isEmpty();
	}

	@Test
	void gatewayWithoutContactToTheStoreSendsNothingToAColdServer() {
		read("limited", 1, 60_000, START);
		assertThat(requests("limited", START + 4_001, START + 9_000)).isZero();
		assertThat(this.directory.pausedMillis("limited", START + 4_001)).isEqualTo(72);
	}

	@Test
	void serversOfAReopenedZoneAreColdUntilARecordThatWasWrittenLater() {
		read("limited", 1, 0, START);
		this.servers.markZoneCold("z2", START);
		assertThat(this.servers.coldCount(START)).isZero();
		this.servers.markZoneCold("z1", START);
		read("limited", 2, 0, START + 1_100);
		assertThat(this.servers.coldCount(START + 2_999)).isOne();
		assertThat(this.servers.coldCount(START + 3_000)).isZero();
		read("limited", 3, 0, START + 9_900);
		this.servers.markZoneCold("z1", START + 10_000);
		read("limited", 4, 0, START + 11_300);
		assertThat(this.servers.coldCount(START + 11_300)).isZero();
		assertThat(this.reports).containsExactly("a ZONE_REOPENED 3000 72", "a ZONE_REOPENED 3000 72");
	}

	@Test
	void requestsGoToAWarmServerWhileAnotherOneIsCold() {
		read("limited", 1, 60_000, START);
		this.directory.update(new EndpointRecord("b", "limited", "10.0.0.2:80", "z1", 4, false, 1, 1));
		assertThat(this.directory.availableEndpoints("limited", START)).singleElement()
			.satisfies((endpoint) -> assertThat(endpoint.record().id()).isEqualTo("b"));
		assertThat(this.directory.pausedMillis("limited", START)).isZero();
	}

}
