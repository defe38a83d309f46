package org.magnoliahub.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.serving.StoreEra;
import org.magnoliahub.time.Timers;

/**
 * The store on virtual time: answers are late or lost, writes may be done late, and it
 * comes back from older copies of itself.
 */
final class SimulatedStore {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long FEED_STEP_MILLIS = 50;

	private static final long COPY_INTERVAL_MILLIS = 100;

	private static final int COPIES = 80;

	private static final long LAPSE_MILLIS = 3_600;

	private final Timers timers;

	private final SplittableRandom random;

	private final Deque<Snapshot> copies = new ArrayDeque<>();

	private Map<String, Row> rows = new TreeMap<>();

	private long revision;

	private long era = 1;

	private boolean away;

	private double lostShare;

	SimulatedStore(Timers timers, SplittableRandom random) {
		this.timers = timers;
		this.random = random;
		timers.repeat(Duration.ofMillis(COPY_INTERVAL_MILLIS), this::tick);
	}

	private void tick() {
		if (this.away) {
			return;
		}
		long now = this.timers.milliTime();
		Set<String> lapsed = new TreeSet<>();
		this.rows.forEach((name, row) -> {
			if (name.startsWith(StoreFormat.ENDPOINT_TABLE + "/") && !row.removed() && now - row.at() > LAPSE_MILLIS) {
				lapsed.add(name);
			}
		});
		lapsed.forEach((name) -> this.rows.put(name, new Row("", ++this.revision, true, now)));
		this.copies.addLast(new Snapshot(now, Map.copyOf(this.rows), this.revision));
		if (this.copies.size() > COPIES) {
			this.copies.removeFirst();
		}
	}

	void setLostShare(double share) {
		this.lostShare = share;
	}

	/**
	 * Is away for a time and comes back from a copy.
	 */
	void rollBack(long awayMillis, long copyAgeMillis) {
		this.away = true;
		long wanted = this.timers.milliTime() - copyAgeMillis;
		this.timers.schedule(Duration.ofMillis(awayMillis), () -> {
			Snapshot copy = this.copies.peekFirst();
			for (Snapshot candidate : this.copies) {
				copy = (candidate.at() <= wanted) ? candidate : copy;
			}
			this.away = false;
			if (copy == null) {
				return;
			}
			this.copies.removeIf((later) -> later.at() > wanted);
			long now = this.timers.milliTime();
			this.rows = new TreeMap<>();
			copy.rows().forEach((name, row) -> this.rows.put(name, row.writtenAt(now)));
			this.revision = copy.revision();
			this.era++;
		});
	}

	boolean isAway() {
		return this.away;
	}

	/**
	 * Writes as the operator or an endpoint does.
	 */
	boolean write(String table, String key, String value) {
		if (this.away) {
			return false;
		}
		this.rows.put(table + "/" + key, new Row(value, ++this.revision, false, this.timers.milliTime()));
		return true;
	}

	void remove(String table, String key) {
		if (!this.away && this.rows.containsKey(table + "/" + key)) {
			this.rows.put(table + "/" + key, new Row("", ++this.revision, true, this.timers.milliTime()));
		}
	}

	Set<String> keys(String table) {
		return this.rows.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith(table + "/") && !entry.getValue().removed())
			.map((entry) -> entry.getKey().substring(table.length() + 1))
			.collect(Collectors.toCollection(TreeSet::new));
	}

	String value(String table, String key) {
		Row row = this.rows.get(table + "/" + key);
		return (row == null || row.removed()) ? "" : row.value();
	}

	/**
	 * Returns the calls of one gateway, which observes the era as the client does.
	 */
	StoreCalls calls(StoreEra observed, Runnable wrote) {
		return new GatewayCalls(observed, wrote);
	}

	private String list(String table, long after, boolean changes) {
		ObjectNode root = MAPPER.createObjectNode();
		root.putArray("rows");
		for (Iterator<Map.Entry<String, Row>> it = this.rows.entrySet().iterator(); it.hasNext();) {
			Map.Entry<String, Row> entry = it.next();
			Row row = entry.getValue();
			if (!entry.getKey().startsWith(table + "/") || row.revision() <= after || (row.removed() && !changes)) {
				continue;
			}
			ObjectNode node = root.withArray("rows").addObject();
			node.put("key", entry.getKey().substring(table.length() + 1)).put("ver", row.revision());
			node.put("value", Base64.getEncoder().encodeToString(row.value().getBytes(StandardCharsets.UTF_8)));
			if (row.removed()) {
				node.put("tombstone", true);
			}
		}
		return root.put("ver", this.revision).put("has_more", false).toString();
	}

	private static String parameter(String target, String name) {
		int at = target.indexOf(name + "=") + name.length() + 1;
		int end = target.indexOf('&', at);
		return target.substring(at, (end < 0) ? target.length() : end);
	}

	private final class GatewayCalls implements StoreCalls {

		private final StoreEra observed;

		private final Runnable wrote;

		private GatewayCalls(StoreEra observed, Runnable wrote) {
			this.observed = observed;
			this.wrote = wrote;
		}

		@Override
		public void get(String target, long timeoutMillis, Handler handler) {
			PendingResponse answer = new PendingResponse(this.observed, handler);
			later(1, 40, () -> read(target, answer, SimulatedStore.this.timers.milliTime()));
			SimulatedStore.this.timers.schedule(Duration.ofMillis(timeoutMillis), () -> answer.fail("no answer"));
		}

		private void read(String target, PendingResponse answer, long since) {
			if (refused(answer)) {
				return;
			}
			String table = parameter(target, "table");
			if (target.contains("rows-get")) {
				answer.give(200, list(table, 0, false));
				return;
			}
			long after = Long.parseLong(parameter(target, "after"));
			if (after > SimulatedStore.this.revision) {
				answer.give(410, "");
				return;
			}
			long waited = SimulatedStore.this.timers.milliTime() - since;
			boolean changed = SimulatedStore.this.rows.entrySet()
				.stream()
				.anyMatch((entry) -> entry.getKey().startsWith(table + "/") && entry.getValue().revision() > after);
			if (!changed && waited < Long.parseLong(parameter(target, "wait_ms"))) {
				SimulatedStore.this.timers.schedule(Duration.ofMillis(FEED_STEP_MILLIS),
						() -> read(target, answer, since));
				return;
			}
			answer.give(200, list(table, after, true));
		}

		private boolean refused(PendingResponse answer) {
			if (SimulatedStore.this.away) {
				if (SimulatedStore.this.random.nextBoolean()) {
					answer.give(503, "");
				}
				return true;
			}
			return false;
		}

		@Override
		public void post(String target, byte[] body, long timeoutMillis, Handler handler) {
			PendingResponse answer = new PendingResponse(this.observed, handler);
			boolean late = SimulatedStore.this.random.nextDouble() < SimulatedStore.this.lostShare;
			later(late ? 1_000 : 1, late ? 4_000 : 40, () -> change(body, answer));
			SimulatedStore.this.timers.schedule(Duration.ofMillis(timeoutMillis), () -> answer.fail("no answer"));
		}

		private void change(byte[] body, PendingResponse answer) {
			if (refused(answer)) {
				return;
			}
			try {
				JsonNode call = MAPPER.readTree(body);
				for (JsonNode row : call.path("expected")) {
					Row present = SimulatedStore.this.rows
						.get(row.path("table").asText() + "/" + row.path("key").asText());
					if (present == null || present.revision() != row.path("ver").asLong()) {
						answer.give(412, "");
						return;
					}
				}
				for (JsonNode row : call.path("writes")) {
					this.wrote.run();
					write(row.path("table").asText(), row.path("key").asText(),
							new String(Base64.getDecoder().decode(row.path("value").asText()), StandardCharsets.UTF_8));
				}
				for (JsonNode row : call.path("remove")) {
					remove(row.path("table").asText(), row.path("key").asText());
				}
				answer.give(200, "{}");
			}
			catch (java.io.IOException ex) {
				throw new java.io.UncheckedIOException(ex);
			}
		}

		private void later(long least, long most, Runnable task) {
			SimulatedStore.this.timers.schedule(Duration.ofMillis(SimulatedStore.this.random.nextLong(least, most + 1)),
					task);
		}

		@Override
		public void delete(String target, long timeoutMillis, Handler handler) {
			throw new UnsupportedOperationException("objects are not simulated");
		}

		@Override
		public void put(String target, byte[] body, boolean onlyIfAbsent, long timeoutMillis, Handler handler) {
			throw new UnsupportedOperationException("objects are not simulated");
		}

	}

	private final class PendingResponse {

		private final StoreEra observed;

		private final StoreCalls.Handler handler;

		private boolean over;

		private PendingResponse(StoreEra observed, StoreCalls.Handler handler) {
			this.observed = observed;
			this.handler = handler;
		}

		// The era is the one in which the store answered, however late the answer
		// arrives.
		private void give(int status, String body) {
			long stated = SimulatedStore.this.era;
			if (SimulatedStore.this.random.nextDouble() < SimulatedStore.this.lostShare) {
				return;
			}
			boolean slow = SimulatedStore.this.random.nextInt(20) == 0;
			long delay = SimulatedStore.this.random.nextLong(1, slow ? 1_400 : 40);
			SimulatedStore.this.timers.schedule(Duration.ofMillis(delay), () -> {
				if (this.over) {
					return;
				}
				this.over = true;
				if (!this.observed.observe(OptionalLong.of(stated))) {
					this.handler.onFailure("earlier era");
					return;
				}
				this.handler.onAnswer(status, body.getBytes(StandardCharsets.UTF_8));
			});
		}

		private void fail(String reason) {
			if (!this.over) {
				this.over = true;
				this.handler.onFailure(reason);
			}
		}

	}

	private record Row(String value, long revision, boolean removed, long at) {

		private Row writtenAt(long now) {
			return new Row(this.value, this.revision, this.removed, now);
		}

	}

	private record Snapshot(long at, Map<String, Row> rows, long revision) {
	}

}
