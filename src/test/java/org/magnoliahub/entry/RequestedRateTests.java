package org.magnoliahub.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against gateways that together send an endpoint more requests than the rate that
 * its responses state.
 */
class RequestedRateTests {

	private static final int GATEWAYS = 3;

	private static final String RATE = "Server-Limit: 1\r\n";

	/** One and a half times one request a second in 4 s, and 5 requests. */
	private static final int PERMITTED_IN_WINDOW = 11;

	private static final long WINDOW_MILLIS = 4_000;

	/** Time from a response with the rate until its gateway has to respect it. */
	private static final long NOTICE_MILLIS = 500;

	private EntryFixture fixture;

	private final List<Long> arrivals = new CopyOnWriteArrayList<>();

	private volatile boolean limited = true;

	@BeforeEach
	void start() throws IOException, PlatformFormatException {
		this.fixture = EntryFixture.start();
		for (int index = 1; index < GATEWAYS; index++) {
			this.fixture.awaitReady(this.fixture.addGateway());
		}
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private void addLimitedEndpoint() throws IOException {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			this.arrivals.add(System.nanoTime() / 1_000_000);
			String response = EntryFixture.signedResponse(request, "first");
			int end = response.indexOf("\r\n") + 2;
			RawServer.write(socket,
					this.limited ? response.substring(0, end) + RATE + response.substring(end) : response);
		});
	}

	private List<CallerAnswer> sendForMillis(long millis) throws Exception {
		List<CompletableFuture<List<CallerAnswer>>> senders = new ArrayList<>();
		long end = System.nanoTime() + millis * 1_000_000;
		for (int gateway = 0; gateway < GATEWAYS; gateway++) {
			int target = gateway;
			senders.add(CompletableFuture.supplyAsync(() -> sendUntil(target, end)));
		}
		List<CallerAnswer> answers = new ArrayList<>();
		for (CompletableFuture<List<CallerAnswer>> sender : senders) {
			answers.addAll(sender.get());
		}
		return answers;
	}

	private List<CallerAnswer> sendUntil(int gateway, long end) {
		List<CallerAnswer> answers = new ArrayList<>();
		try {
			while (System.nanoTime() < end) {
				answers.add(this.fixture.sendTo(gateway, "GET", "/look/1", "r-" + gateway + "-" + System.nanoTime()));
				Thread.sleep(50);
			}
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
		return answers;
	}

	private int mostInWindow(long from) {
		List<Long> counted = this.arrivals.stream().filter((time) -> time >= from).sorted().toList();
		int most = 0;
		for (int first = 0; first < counted.size(); first++) {
			long start = counted.get(first);
			most = Math.max(most,
					(int) counted.stream().filter((time) -> time >= start && time < start + WINDOW_MILLIS).count());
		}
		return most;
	}

	@Test
	void gatewaysTogetherSendNoMoreThanTheStatedRate() throws Exception {
		addLimitedEndpoint();
		this.fixture.addEndpoint("i-2", "plain",
				(request, socket) -> RawServer.write(socket, EntryFixture.signedResponse(request, "second")));
		this.fixture.awaitEndpoints();
		long start = System.nanoTime() / 1_000_000;
		List<CallerAnswer> answers = sendForMillis(7_000);
		assertThat(answers).allMatch((answer) -> answer.status() == 200);
		assertThat(answers).anyMatch((answer) -> answer.body().equals("first"));
		assertThat(mostInWindow(start + NOTICE_MILLIS)).isLessThanOrEqualTo(PERMITTED_IN_WINDOW);
	}

	@Test
	void callersAreRefusedAtOnceIfTheOnlyEndpointHasReachedItsRate() throws Exception {
		addLimitedEndpoint();
		this.fixture.awaitEndpoints();
		this.fixture.send("GET", "/look/1", "first");
		long begin = System.nanoTime();
		CallerAnswer refused = this.fixture.send("GET", "/look/1", "second");
		assertThat(System.nanoTime() - begin).isLessThan(500_000_000L);
		assertThat(refused.status()).isEqualTo(503);
		assertThat(Double.parseDouble(refused.headers().get("retry-after"))).isBetween(0.1, 1.0);
	}

}
