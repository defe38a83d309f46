package org.magnoliahub.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.nio.NioEventLoopGroup;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.StoredRow;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StoreEmulator;
import org.magnoliahub.serving.StoreEra;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a store that repeats an earlier response on a kept connection: its
 * revision must not hide a change of another table, and it must not confirm a write.
 */
class RepeatedStoreResponseTests {

	private static final TableWatcher.PollTiming TIMING = new TableWatcher.PollTiming(60, 0);

	private static final int ROUNDS = 8;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoopTimers timers = new EventLoopTimers(this.group.next(), (failure) -> {
	});

	private final Map<String, String> rows = new ConcurrentHashMap<>();

	private StoreEmulator store;

	private StoreClient client;

	@BeforeEach
	void start() throws IOException {
		this.store = new StoreEmulator();
		this.client = new StoreClient(new HttpClient(this.group, this.timers), this.timers, new EntryMetrics(),
				this.store.address(), new StoreEra(), (fault) -> {
				});
	}

	@AfterEach
	void stop() throws IOException {
		this.store.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private void watch(String table) {
		TableWatcher watcher = new TableWatcher(this.client, this.timers, new SplittableRandom(1),
				new EntryLog(this.timers, (line) -> {
				}), table, () -> TIMING, new RowsListener());
		this.group.execute(watcher::start);
	}

	@Test
	void repeatedResponseHidesNoChangeOfAnotherTable() {
		this.store.put("servers", "i-0", "0");
		this.store.put("op", "config", "0");
		watch("servers");
		watch("op");
		Awaitility.await().until(() -> this.rows.size() == 2);
		this.store.setMode(StoreEmulator.Mode.REPEATS_ANSWERS);
		for (int round = 1; round <= ROUNDS; round++) {
			String value = Integer.toString(round);
			this.store.put("op", "config", value);
			this.store.put("servers", "i-0", value);
			Awaitility.await()
				.alias("round " + round)
				.atMost(Duration.ofSeconds(2))
				.untilAsserted(() -> assertThat(this.rows).containsEntry("config", value).containsEntry("i-0", value));
		}
	}

	@Test
	void repeatedResponseConfirmsNoWrite() {
		Map<Socket, String> responses = new ConcurrentHashMap<>();
		AtomicInteger calls = new AtomicInteger();
		this.store.setAnswer((request, socket) -> {
			String response = "HTTP/1.1 " + ((calls.incrementAndGet() == 1) ? 200 : 412)
					+ " X\r\nContent-Length: 0\r\n\r\n";
			RawServer.write(socket, responses.getOrDefault(socket, "") + response);
			responses.put(socket, response);
		});
		List<Integer> statuses = new CopyOnWriteArrayList<>();
		this.group.execute(() -> write(statuses, () -> write(statuses, () -> {
		})));
		Awaitility.await().until(() -> statuses.size() == 2);
		assertThat(statuses).containsExactly(200, 412);
	}

	private void write(List<Integer> statuses, Runnable next) {
		this.client.post(StoreFormat.WRITE_PATH, new byte[0], 1_000, new StoreCalls.Handler() {

			@Override
			public void onResponse(int status, byte[] body) {
				statuses.add(status);
				next.run();
			}

			@Override
			public void onFailure(String reason) {
				statuses.add(0);
			}

		});
	}

	private final class RowsListener implements TableWatcher.Listener {

		@Override
		public void onList(List<StoredRow> listed, boolean restored) {
			onChanges(listed);
		}

		@Override
		public void onChanges(List<StoredRow> changed) {
			changed.forEach((row) -> RepeatedStoreResponseTests.this.rows.put(row.key(),
					new String(row.value(), StandardCharsets.UTF_8)));
		}

	}

}
