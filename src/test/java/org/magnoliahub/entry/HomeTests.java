package org.magnoliahub.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests and pieces of routes and workspaces with homes that are served
 * elsewhere.
 */
class HomeTests {

	private static final String ZONES = "{\"zones\":{\"z1\":\"eu\",\"z2\":\"us\"},";

	private static final String WORKSPACE = "\"name\":\"workspace-1\"";

	private final List<String> requested = new CopyOnWriteArrayList<>();

	private EntryFixture fixture;

	private int gateway;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new EntryFixture();
		configure(1, "[\"us\"]", "[]");
		this.gateway = addGateway();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private void configure(int version, String routeRegions, String workspaceRegions) {
		this.fixture.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY,
				EmulatedSettings.configuration(version, List.of())
					.replaceAll("\"name\":\"(order|staged)\"", "$0,\"allowed_regions\":" + routeRegions)
					.replace(WORKSPACE, WORKSPACE + ",\"allowed_regions\":" + workspaceRegions));
	}

	private void addEndpoint(String id, String service, String zone, RawServer.Handler handler) throws IOException {
		this.fixture.addEndpoint(id, service, zone, (request, socket) -> {
			this.requested.add(id);
			handler.handle(request, socket);
		});
	}

	private void addPlain(String id, String zone) throws IOException {
		addEndpoint(id, "plain", zone,
				(request, socket) -> RawServer.write(socket, EntryFixture.signedResponse(request, id)));
	}

	@Test
	void requestIsServedOnlyInItsHome() throws Exception {
		addPlain("a", "z1");
		this.fixture.awaitEndpoints();
		CallerAnswer refusal = this.fixture.sendTo(this.gateway, "POST", "/order/1", "r0");
		assertThat(refusal.status()).isEqualTo(503);
		assertThat(this.requested).isEmpty();
		addPlain("b", "z2");
		this.fixture.awaitEndpoints();
		for (int index = 1; index < 10; index++) {
			assertThat(this.fixture.sendTo(this.gateway, "POST", "/order/1", "r" + index).body()).isEqualTo("b");
		}
		configure(2, "[\"us\"]", "[\"eu\"]");
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.sendTo(this.gateway, "POST", "/order/1", "r10").status()).isEqualTo(503);
		assertThat(this.fixture.sendTo(this.gateway, "GET", "/look/1", "r11").body()).isEqualTo("a");
		assertThat(this.fixture.log()).contains("\"reason\":\"no_home_endpoint\"");
	}

	private int addGateway() throws Exception {
		int index = this.fixture.addGateway((settings) -> settings.replaceFirst("\\{", ZONES));
		this.fixture.awaitReady(index);
		return index;
	}

	private void awaitLinks() {
		Awaitility.await()
			.atMost(Duration.ofSeconds(10))
			.until(() -> this.fixture.log().contains("\"member\":\"gateway-0\",\"state\":\"open\"")
					&& this.fixture.log().contains("\"member\":\"gateway-1\",\"state\":\"open\""));
	}

	@Test
	void piecesRunOnlyInTheHomeOfTheRequestWhicheverGatewayOwnsTheQueue() throws Exception {
		int second = addGateway();
		StageEmulator stages = new StageEmulator(20, 1);
		for (String zone : List.of("z1", "z2")) {
			addEndpoint("read-" + zone, "read", zone, stages.handler());
			addEndpoint("rank-" + zone, "rank", zone, stages.handler());
			addEndpoint("model-" + zone, "model", zone, (request, socket) -> RawServer.write(socket,
					EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n"));
		}
		this.fixture.awaitEndpoints();
		awaitLinks();
		for (int index = 0; index < 8; index++) {
			int receiver = (index % 2 == 0) ? this.gateway : second;
			CallerAnswer answer = this.fixture.sendTo(receiver, "POST", "/staged/1", "r" + index, "Pieces: 2,1",
					"Piece-Key: k" + index);
			assertThat(answer.body()).isEqualTo(EntryFixture.event(1));
		}
		assertThat(this.requested).contains("read-z2", "rank-z2", "model-z2").allMatch((id) -> id.endsWith("-z2"));
	}

}
