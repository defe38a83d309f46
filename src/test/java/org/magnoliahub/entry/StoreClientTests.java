package org.magnoliahub.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.serving.StoreEra;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a large configuration that is given up and requested again and again on
 * a slow link, so that it is never adopted.
 */
class StoreClientTests {

	private static final long TIMEOUT_MILLIS = 500;

	private static final long PART_PAUSE_MILLIS = 250;

	private static final int PARTS = 6;

	private static final String PART = "x".repeat(1_000);

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoopTimers timers = new EventLoopTimers(this.group.next(), (failure) -> {
	});

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private String call(RawServer.Handler handler)
			throws IOException, InterruptedException, ExecutionException, TimeoutException {
		try (RawServer server = RawServer.start(handler)) {
			StoreClient client = new StoreClient(new HttpClient(this.group, this.timers), this.timers,
					new EntryMetrics(), server.address(), new StoreEra(), (fault) -> {
					});
			CompletableFuture<String> outcome = new CompletableFuture<>();
			this.group.execute(() -> client.get("/rows", TIMEOUT_MILLIS, new StoreCalls.Handler() {

				@Override
				public void onResponse(int status, byte[] body) {
					outcome.complete(body.length + " bytes");
				}

				@Override
				public void onFailure(String reason) {
					outcome.complete(reason);
				}

			}));
			return outcome.get(20, TimeUnit.SECONDS);
		}
	}

	private static void respond(Socket socket, int parts) throws IOException {
		RawServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + PARTS * PART.length() + "\r\n\r\n");
		for (int part = 0; part < parts; part++) {
			RawServer.write(socket, PART);
			EntryFixture.pause(PART_PAUSE_MILLIS);
		}
	}

	@Test
	void responseThatArrivesSlowlyIsNotGivenUp() throws Exception {
		assertThat(call((request, socket) -> respond(socket, PARTS))).isEqualTo("6000 bytes");
	}

	@Test
	void responseThatStopsIsGivenUp() throws Exception {
		String outcome = call((request, socket) -> {
			respond(socket, PARTS / 2);
			socket.getInputStream().read();
			socket.close();
		});
		assertThat(outcome).startsWith("no complete response").endsWith("3000 bytes received");
	}

	@Test
	void responseThatNeverBeginsIsGivenUp() throws Exception {
		String outcome = call((request, socket) -> {
			socket.getInputStream().read();
			socket.close();
		});
		assertThat(outcome).startsWith("no complete response").endsWith("0 bytes received");
	}

}
