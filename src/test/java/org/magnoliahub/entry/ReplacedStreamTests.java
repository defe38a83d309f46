package org.magnoliahub.entry;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that are closed at a live endpoint that holds them back, when
 * the endpoint that was tried instead refuses or stays silent, however late it does. The
 * live endpoint goes on only after the other ones have done so.
 */
class ReplacedStreamTests {

	/** Longer than two endpoints may work on one stream. */
	private static final long LATE_MILLIS = 700;

	/** Shorter than that. */
	private static final long SOON_MILLIS = 150;

	/** Two endpoints must not work on one stream for longer. */
	private static final long MAXIMUM_OVERLAP_NANOS = Duration.ofMillis(400).toNanos();

	private final StageEmulator stages = new StageEmulator(20, 1);

	private final AtomicInteger requests = new AtomicInteger();

	private final CountDownLatch othersHaveResponded = new CountDownLatch(1);

	private EntryFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	static List<Order> orders() {
		List<Order> orders = new ArrayList<>();
		for (boolean staged : new boolean[] { false, true }) {
			for (OtherEndpoint other : List.of(OtherEndpoint.REFUSES_SOON, OtherEndpoint.REFUSES_LATE,
					OtherEndpoint.STAYS_SILENT)) {
				for (Silence silence : Silence.values()) {
					orders.add(new Order(silence, staged, 1, other));
				}
				orders.add(new Order(Silence.BETWEEN_EVENTS, staged, 2, other));
			}
		}
		orders.add(new Order(Silence.BETWEEN_EVENTS, false, 1, OtherEndpoint.REFUSES_IN_PARTS));
		return orders;
	}

	@ParameterizedTest
	@MethodSource("orders")
	void streamOfLiveEndpointIsComplete(Order order) throws Exception {
		this.fixture.addEndpoint("rank-1", "rank", this.stages.handler());
		this.fixture.addEndpoint("read-1", "read", this.stages.handler());
		for (int index = 0; index <= order.otherEndpoints(); index++) {
			this.fixture.addEndpoint("model-" + index, "model", (request, socket) -> {
				if (this.requests.incrementAndGet() == 1) {
					holdBack(order.silence(), request, socket);
					return;
				}
				respondAsOther(order, request, socket);
			});
		}
		this.fixture.awaitEndpoints();
		CallerAnswer answer = order.staged()
				? this.fixture.send("POST", "/staged/1", "r1", "Pieces: 1,1", "Piece-Key: k1")
				: this.fixture.send("POST", "/draft/1", "r1");
		assertThat(answer.body()).isEqualTo(EntryFixture.event(1) + EntryFixture.event(2));
		assertThat(answer.complete()).isTrue();
		assertThat(this.requests).hasValueGreaterThan(1);
	}

	private void holdBack(Silence silence, RawServer.Request request, Socket socket) throws IOException {
		String head = EntryFixture.streamHead(request);
		String first = EntryFixture.chunk(EntryFixture.event(1));
		String before = switch (silence) {
			case BEFORE_HEAD -> "";
			case BEFORE_FIRST_EVENT -> head;
			case BETWEEN_EVENTS -> head + first;
		};
		RawServer.write(socket, before);
		await(this.othersHaveResponded);
		RawServer.write(socket,
				(head + first).substring(before.length()) + EntryFixture.chunk(EntryFixture.event(2)) + "0\r\n\r\n");
	}

	private void respondAsOther(Order order, RawServer.Request request, Socket socket) throws IOException {
		if (order.other() == OtherEndpoint.REFUSES_IN_PARTS) {
			RawServer.write(socket, EntryFixture.notExecutedResponse(request, 503).replace("Length: 0", "Length: 4"));
		}
		EntryFixture.pause((order.other() == OtherEndpoint.REFUSES_SOON) ? SOON_MILLIS : LATE_MILLIS);
		try {
			if (order.other() == OtherEndpoint.REFUSES_IN_PARTS) {
				RawServer.write(socket, "full");
			}
			else if (order.other() != OtherEndpoint.STAYS_SILENT) {
				RawServer.write(socket, EntryFixture.notExecutedResponse(request, 503));
			}
		}
		finally {
			this.othersHaveResponded.countDown();
		}
		if (order.other() == OtherEndpoint.STAYS_SILENT) {
			awaitClose(socket);
		}
	}

	@Test
	void liveEndpointAndOtherOneDoNotOverlap() throws Exception {
		AtomicLong takenNanos = new AtomicLong();
		AtomicLong closedNanos = new AtomicLong();
		RawServer.Handler handler = (request, socket) -> {
			if (this.requests.incrementAndGet() == 1) {
				holdBack(Silence.BETWEEN_EVENTS, request, socket);
				return;
			}
			takenNanos.set(System.nanoTime());
			awaitClose(socket);
			closedNanos.set(System.nanoTime());
			this.othersHaveResponded.countDown();
		};
		this.fixture.addEndpoint("model-0", "model", handler);
		this.fixture.addEndpoint("model-1", "model", handler);
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("POST", "/draft/1", "r1").complete()).isTrue();
		assertThat(closedNanos.get() - takenNanos.get()).isBetween(0L, MAXIMUM_OVERLAP_NANOS);
	}

	private static void awaitClose(Socket socket) throws IOException {
		if (socket.getInputStream().read() < 0) {
			socket.close();
		}
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(4, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** When the live endpoint holds back the stream. */
	private enum Silence {

		BEFORE_HEAD, BEFORE_FIRST_EVENT, BETWEEN_EVENTS

	}

	/** What an endpoint does that gets the stream instead. */
	private enum OtherEndpoint {

		REFUSES_SOON, REFUSES_LATE, REFUSES_IN_PARTS, STAYS_SILENT

	}

	private record Order(Silence silence, boolean staged, int otherEndpoints, OtherEndpoint other) {
	}

}
