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
 * A store on virtual time. Responses are delayed or lost, writes may be applied late, and
 * the store can be restored from older snapshots.
 */
final class SimulatedStore {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long LONG_POLL_STEP_MILLIS = 50;

	private static final long SNAPSHOT_INTERVAL_MILLIS = 100;

	private static final int MAXIMUM_SNAPSHOTS = 80;

	private static final long ENDPOINT_EXPIRY_MILLIS = 3_600;

	private final Timers timers;

	private final SplittableRandom random;

	private final Deque<Snapshot> snapshots = new ArrayDeque<>();

	private Map<String, Row> rows = new TreeMap<>();

	private long revision;

	private long era = 1;

	private boolean unavailable;

	private double lossProbability;

	SimulatedStore(Timers timers, SplittableRandom random) {
		this.timers = timers;
		this.random = random;
		timers.schedulePeriodically(Duration.ofMillis(SNAPSHOT_INTERVAL_MILLIS), this::expireAndSnapshot);
	}

	private void expireAndSnapshot() {
		if (this.unavailable) {
			return;
		}
		long now = this.timers.milliTime();
		Set<String> expired = new TreeSet<>();
		this.rows.forEach((name, row) -> {
			if (name.startsWith(StoreFormat.ENDPOINT_TABLE + "/") && !row.removed()
					&& now - row.writeTime() > ENDPOINT_EXPIRY_MILLIS) {
				expired.add(name);
			}
		});
		expired.forEach((name) -> this.rows.put(name, new Row("", ++this.revision, true, now)));
		this.snapshots.addLast(new Snapshot(now, Map.copyOf(this.rows), this.revision));
		if (this.snapshots.size() > MAXIMUM_SNAPSHOTS) {
			this.snapshots.removeFirst();
		}
	}

	void setLossProbability(double probability) {
		this.lossProbability = probability;
	}

	/**
	 * Makes the store unavailable for a time and then restores it from a snapshot.
	 */
	void rollBack(long unavailableMillis, long snapshotAgeMillis) {
		this.unavailable = true;
		long snapshotTime = this.timers.milliTime() - snapshotAgeMillis;
		this.timers.schedule(Duration.ofMillis(unavailableMillis), () -> {
			Snapshot snapshot = this.snapshots.peekFirst();
			for (Snapshot candidate : this.snapshots) {
				snapshot = (candidate.time() <= snapshotTime) ? candidate : snapshot;
			}
			this.unavailable = false;
			if (snapshot == null) {
				return;
			}
			this.snapshots.removeIf((later) -> later.time() > snapshotTime);
			long now = this.timers.milliTime();
			this.rows = new TreeMap<>();
			snapshot.rows().forEach((name, row) -> this.rows.put(name, row.writtenAt(now)));
			this.revision = snapshot.revision();
			this.era++;
		});
	}

	boolean isUnavailable() {
		return this.unavailable;
	}

	/**
	 * Writes a row without a simulated call, as the operator or an endpoint.
	 */
	boolean write(String table, String key, String value) {
		if (this.unavailable) {
			return false;
		}
		this.rows.put(table + "/" + key, new Row(value, ++this.revision, false, this.timers.milliTime()));
		return true;
	}

	void remove(String table, String key) {
		if (!this.unavailable && this.rows.containsKey(table + "/" + key)) {
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
	 * Returns the store calls of one gateway, which observe the era as the store client
	 * does.
	 */
	StoreCalls calls(StoreEra observed, Runnable writeListener) {
		return new GatewayCalls(observed, writeListener);
	}

	private String rowsAsJson(String table, long after, boolean changes) {
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

		private final Runnable writeListener;

		private GatewayCalls(StoreEra observed, Runnable writeListener) {
			this.observed = observed;
			this.writeListener = writeListener;
		}

		@Override
		public void get(String target, long timeoutMillis, Handler handler) {
			PendingResponse response = new PendingResponse(this.observed, handler);
			scheduleRandomly(1, 40, () -> read(target, response, SimulatedStore.this.timers.milliTime()));
			SimulatedStore.this.timers.schedule(Duration.ofMillis(timeoutMillis), () -> response.fail("no response"));
		}

		private void read(String target, PendingResponse response, long since) {
			if (respondIfUnavailable(response)) {
				return;
			}
			String table = parameter(target, "table");
			if (target.contains("rows-get")) {
				response.respond(200, rowsAsJson(table, 0, false));
				return;
			}
			long after = Long.parseLong(parameter(target, "after"));
			if (after > SimulatedStore.this.revision) {
				response.respond(410, "");
				return;
			}
			long waited = SimulatedStore.this.timers.milliTime() - since;
			boolean changed = SimulatedStore.this.rows.entrySet()
				.stream()
				.anyMatch((entry) -> entry.getKey().startsWith(table + "/") && entry.getValue().revision() > after);
			if (!changed && waited < Long.parseLong(parameter(target, "wait_ms"))) {
				SimulatedStore.this.timers.schedule(Duration.ofMillis(LONG_POLL_STEP_MILLIS),
						() -> read(target, response, since));
				return;
			}
			response.respond(200, rowsAsJson(table, after, true));
		}

		private boolean respondIfUnavailable(PendingResponse response) {
			if (SimulatedStore.this.unavailable) {
				if (SimulatedStore.this.random.nextBoolean()) {
					response.respond(503, "");
				}
				return true;
			}
			return false;
		}

		@Override
		public void post(String target, byte[] body, long timeoutMillis, Handler handler) {
			PendingResponse response = new PendingResponse(this.observed, handler);
			boolean late = SimulatedStore.this.random.nextDouble() < SimulatedStore.this.lossProbability;
			scheduleRandomly(late ? 1_000 : 1, late ? 4_000 : 40, () -> change(body, response));
			SimulatedStore.this.timers.schedule(Duration.ofMillis(timeoutMillis), () -> response.fail("no response"));
		}

		private void change(byte[] body, PendingResponse response) {
			if (respondIfUnavailable(response)) {
				return;
			}
			try {
				JsonNode call = MAPPER.readTree(body);
				for (JsonNode row : call.path("expected")) {
					Row present = SimulatedStore.this.rows
						.get(row.path("table").asText() + "/" + row.path("key").asText());
					if (present == null || present.revision() != row.path("ver").asLong()) {
						response.respond(412, "");
						return;
					}
				}
				for (JsonNode row : call.path("writes")) {
					this.writeListener.run();
					write(row.path("table").asText(), row.path("key").asText(),
							new String(Base64.getDecoder().decode(row.path("value").asText()), StandardCharsets.UTF_8));
				}
				for (JsonNode row : call.path("remove")) {
					remove(row.path("table").asText(), row.path("key").asText());
				}
				response.respond(200, "{}");
			}
			catch (java.io.IOException ex) {
				throw new java.io.UncheckedIOException(ex);
			}
		}

		private void scheduleRandomly(long minimumMillis, long maximumMillis, Runnable task) {
			SimulatedStore.this.timers.schedule(
					Duration.ofMillis(SimulatedStore.this.random.nextLong(minimumMillis, maximumMillis + 1)), task);
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

		private boolean completed;

		private PendingResponse(StoreEra observed, StoreCalls.Handler handler) {
			this.observed = observed;
			this.handler = handler;
		}

		// A delayed response states the era in which it was created.
		private void respond(int status, String body) {
			long respondedEra = SimulatedStore.this.era;
			if (SimulatedStore.this.random.nextDouble() < SimulatedStore.this.lossProbability) {
				return;
			}
			boolean slow = SimulatedStore.this.random.nextInt(20) == 0;
			long delay = SimulatedStore.this.random.nextLong(1, slow ? 1_400 : 40);
			SimulatedStore.this.timers.schedule(Duration.ofMillis(delay), () -> {
				if (this.completed) {
					return;
				}
				this.completed = true;
				if (!this.observed.observe(OptionalLong.of(respondedEra))) {
					this.handler.onFailure("earlier era");
					return;
				}
				this.handler.onResponse(status, body.getBytes(StandardCharsets.UTF_8));
			});
		}

		private void fail(String reason) {
			if (!this.completed) {
				this.completed = true;
				this.handler.onFailure(reason);
			}
		}

	}

	private record Row(String value, long revision, boolean removed, long writeTime) {

		private Row writtenAt(long now) {
			return new Row(this.value, this.revision, this.removed, now);
		}

	}

	private record Snapshot(long time, Map<String, Row> rows, long revision) {
	}

}
