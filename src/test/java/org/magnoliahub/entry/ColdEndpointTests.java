package org.magnoliahub.entry;

import java.util.List;

import io.netty.channel.nio.NioEventLoopGroup;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliahub.coldstart.ColdBounds;
import org.magnoliahub.coldstart.ColdServers;
import org.magnoliahub.placement.Placement;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.serving.EndpointDirectory;
import org.magnoliahub.serving.EndpointRecord;
import org.magnoliahub.serving.EndpointState;
import org.magnoliahub.serving.GatewayGroup;
import org.magnoliahub.serving.ServiceDefinition;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests of a gateway that has just started to an endpoint whose record
 * states that it is cold, over real connections, and against limits that nobody asked
 * for.
 */
class ColdEndpointTests {

	private static final ColdBounds BOUNDS = new ColdBounds(1.5, 5, 4_000);

	private static final String LIMITED = "\"name\":\"plain\",\"cold_s\":3.0,\"cold_per_s\":14.0,";

	private static EndpointRecord record(long sequence, long coldMillis) {
		return new EndpointRecord("i-1", "plain", "10.0.0.1:80", "z1", 4, false, 1, sequence, coldMillis);
	}

	@ParameterizedTest
	@CsvSource({ "14,endpoint cold", "0," })
	void callThatBeganBeforeTheEndpointBecameColdIsWithheld(double perSecond, @Nullable String reason) {
		NioEventLoopGroup group = new NioEventLoopGroup(1);
		EventLoopTimers timers = new EventLoopTimers(group.next(), (failure) -> {
		});
		EndpointNoticeHandler notices = new EndpointNoticeHandler(timers, new EntryLog(timers, (line) -> {
		}), new EntryMetrics(), new HttpClient(group, timers), new GatewayGroup("g"), new Placement());
		EndpointDirectory directory = new EndpointDirectory();
		ColdServers servers = new ColdServers(BOUNDS, "g", directory, (record, cause, coldMillis, intervalMillis) -> {
		});
		servers.useServices(List.of(new ServiceDefinition("plain", "/h", null, false, 3_000, perSecond)));
		directory.update(record(1, 0));
		EndpointState endpoint = directory.find("i-1").orElseThrow();
		EndpointInterceptor earlier = notices.interceptor(endpoint, (head) -> true);
		directory.update(record(2, 60_000));
		servers.recordRead(List.of(record(2, 60_000)), timers.milliTime());
		assertThat(earlier.refusalReason()).isEqualTo(reason);
		assertThat(notices.interceptor(endpoint, (head) -> true).refusalReason()).isNull();
		group.shutdownGracefully();
	}

	@Test
	void requestsAreRefusedAtOnceOrGoToAWarmEndpoint() throws Exception {
		try (EntryFixture fixture = EntryFixture.start()) {
			fixture.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY,
					EmulatedSettings.configuration(2, List.of()).replace("\"name\":\"plain\",", LIMITED));
			int limited = fixture.addGatewayWithBounds("\"cold_overage\":1.5,\"cold_slack\":5");
			fixture.awaitReady(limited);
			RawServer cold = fixture.addEndpoint("i-1", "plain",
					(request, socket) -> RawServer.write(socket, EntryFixture.signedResponse(request, "cold")));
			fixture.store.put(StoreFormat.ENDPOINT_TABLE, "i-1",
					EmulatedSettings.endpoint("plain", cold.address(), 4, "ready", new EmulatedSettings.Write(1, 2))
						.replace("\"cold_left_ms\":0", "\"cold_left_ms\":60000"));
			fixture.awaitEndpoints();
			assertThat(fixture.sendTo(0, "GET", "/look/1", "r1").body()).isEqualTo("cold");
			CallerAnswer refused = fixture.sendTo(limited, "GET", "/look/1", "r2");
			assertThat(refused.status()).isEqualTo(503);
			assertThat(refused.headers()).containsKey("retry-after");
			fixture.addEndpoint("i-2", "plain",
					(request, socket) -> RawServer.write(socket, EntryFixture.signedResponse(request, "warm")));
			fixture.awaitEndpoints();
			assertThat(fixture.sendTo(limited, "GET", "/look/1", "r3").body()).isEqualTo("warm");
			assertThat(fixture.log()).contains("\"event\":\"endpoint_cold\",\"endpoint\":\"i-1\"");
		}
	}

}
