package org.magnoliahub.soak;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CrashTrigger;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.EndpointEmulator;
import org.magnoliahub.platform.emulator.LoopbackListener;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;
import org.magnoliahub.platform.emulator.StoreEmulator;

/**
 * The endpoints of a run: each place holds one endpoint behind a proxy, and gets another
 * one when the endpoint leaves.
 */
final class SoakEndpoints implements AutoCloseable {

	private static final Set<String> REQUEST_SERVICES = Set.of("plain", "model", "long");

	private static final int LIMIT = 8;

	/** Time from the crash of an endpoint to the start of the next one in its place. */
	private static final long REPLACEMENT_MILLIS = 1_200;

	/** Time in which gateways read a row. */
	private static final long SEEN_MILLIS = 1_200;

	/** Time from the removal of a row to the late write. */
	private static final long LATE_WRITE_MILLIS = 1_500;

	private static final long STAGE_CALL_MILLIS = 15;

	private final StoreEmulator store;

	private final Ledger ledger;

	private final List<String> zones;

	private final StageEmulator stages = new StageEmulator(STAGE_CALL_MILLIS, RequestKind.PIECES);

	private final List<Place> places = new ArrayList<>();

	private final Map<String, Entry> states = new HashMap<>();

	private final AtomicInteger nextId = new AtomicInteger();

	private final AtomicInteger nextWrite = new AtomicInteger();

	private volatile boolean closed;

	private SoakEndpoints(StoreEmulator store, Ledger ledger, List<String> zones) {
		this.store = store;
		this.ledger = ledger;
		this.zones = List.copyOf(zones);
	}

	/**
	 * Starts the endpoints and lists them in the store.
	 * @param store the store
	 * @param ledger learns what they get
	 * @param counts endpoints of each service
	 * @param zones zones in which they are placed by turns
	 * @return the running endpoints
	 * @throws IOException if one cannot listen
	 */
	static SoakEndpoints start(StoreEmulator store, Ledger ledger, Map<String, Integer> counts, List<String> zones)
			throws IOException {
		SoakEndpoints endpoints = new SoakEndpoints(store, ledger, zones);
		for (Map.Entry<String, Integer> service : counts.entrySet()) {
			for (int index = 0; index < service.getValue(); index++) {
				Place place = new Place(service.getKey(), endpoints.zone(endpoints.places.size()));
				endpoints.places.add(place);
				endpoints.fill(place);
			}
		}
		return endpoints;
	}

	StageEmulator stages() {
		return this.stages;
	}

	/**
	 * Returns a zone.
	 * @param target any number of at least 0
	 * @return name of the zone that it falls on
	 */
	String zone(int target) {
		return this.zones.get(target % this.zones.size());
	}

	/**
	 * Returns a place.
	 * @param target any number of at least 0
	 * @return the place that it falls on
	 */
	Place place(int target) {
		return this.places.get(target % this.places.size());
	}

	/**
	 * Returns a place whose endpoint can answer in other ways.
	 * @param target any number of at least 0
	 * @return the place that it falls on
	 */
	Place answeringPlace(int target) {
		List<Place> answering = this.places.stream().filter((place) -> place.emulator != null).toList();
		return answering.get(target % answering.size());
	}

	private void fill(Place place) throws IOException {
		String id = place.service + "-" + this.nextId.incrementAndGet();
		this.ledger.evacuations().place(id, place.zone);
		Closeable server;
		String address;
		if (REQUEST_SERVICES.contains(place.service)) {
			EndpointEmulator emulator = EndpointEmulator.start(id, LIMIT, this.ledger);
			server = emulator;
			emulator.setCrashTrigger(new CrashTrigger(Prompts.CRASHING_PART, () -> replaceCrashed(place, id)));
			emulator.reportLoad();
			address = emulator.address();
			place.emulator = emulator;
		}
		else {
			RawServer stage = RawServer.start(this.ledger.evacuations().recording(id, this.stages.handler()));
			server = stage;
			address = stage.address();
		}
		place.occupant = new Occupant(id, place.zone, server, LoopbackProxy.start(address), Ledger.now());
		list(place.service, place.occupant(), "ready");
	}

	private void replaceCrashed(Place place, String id) {
		this.ledger.crashed();
		Disturbances.Span span = this.ledger.disturbances().beginEndpoint(id);
		place.closeProxy();
		LoopbackListener.daemon(() -> {
			try {
				Thread.sleep(REPLACEMENT_MILLIS);
				synchronized (place) {
					if (!this.closed && place.endpoint().equals(id)) {
						restart(place);
					}
				}
			}
			catch (IOException ex) {
				this.ledger.found(Finding.Promise.PROCESS_LIFE, "no endpoint in place of " + id + ": " + ex);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			finally {
				span.end();
			}
		});
	}

	private synchronized void list(String service, Occupant occupant, String state) {
		this.states.put(occupant.id, new Entry(service, occupant, state));
		this.store.put(StoreFormat.ENDPOINT_TABLE, occupant.id, nextRow(service, occupant, state));
	}

	private String nextRow(String service, Occupant occupant, String state) {
		EmulatedSettings.Write write = new EmulatedSettings.Write(occupant.bornMillis,
				this.nextWrite.incrementAndGet());
		return EmulatedSettings.endpoint(service, occupant.proxy.address(), occupant.zone, LIMIT, state, write);
	}

	private synchronized void unlist(Occupant occupant) {
		this.states.remove(occupant.id);
		this.store.remove(StoreFormat.ENDPOINT_TABLE, occupant.id);
	}

	/**
	 * Lets all endpoints write their rows again, as they do all the time, and those of
	 * endpoints that are gone lapse.
	 */
	synchronized void writeAgain() {
		List.copyOf(this.states.values()).forEach((entry) -> list(entry.service(), entry.occupant(), entry.state()));
		for (String id : this.store.keys(StoreFormat.ENDPOINT_TABLE)) {
			if (!this.states.containsKey(id)) {
				this.store.remove(StoreFormat.ENDPOINT_TABLE, id);
			}
		}
	}

	/**
	 * Ends an endpoint without a word; its row goes, and another endpoint starts.
	 * @param place the place
	 * @throws IOException if the new endpoint cannot listen
	 */
	void restart(Place place) throws IOException {
		synchronized (place) {
			Occupant old = place.occupant();
			old.close();
			unlist(old);
			fill(place);
		}
	}

	/**
	 * Lets an endpoint say that it drains, and starts another one in its place. The old
	 * one serves on until it is closed.
	 * @param place the place
	 * @return closes the old endpoint
	 * @throws IOException if the new endpoint cannot listen
	 */
	Leaving drain(Place place) throws IOException {
		synchronized (place) {
			Occupant old = place.occupant();
			list(place.service, old, "draining");
			this.ledger.drained(old.id);
			fill(place);
			return () -> {
				unlist(old);
				old.close();
			};
		}
	}

	/**
	 * Removes the row of an endpoint, starts another one in its place, and then lets the
	 * store perform an earlier write of the row. The endpoint serves on until it is
	 * closed.
	 * @param place the place
	 * @return closes the endpoint
	 * @throws IOException if the new endpoint cannot listen
	 * @throws InterruptedException if the wait is interrupted
	 */
	Leaving removeAndWriteLate(Place place) throws IOException, InterruptedException {
		Occupant old;
		String late;
		synchronized (place) {
			old = place.occupant();
			late = nextRow(place.service, old, "ready");
			list(place.service, old, "ready");
			fill(place);
		}
		Thread.sleep(SEEN_MILLIS);
		unlist(old);
		this.ledger.removed(old.id);
		Thread.sleep(LATE_WRITE_MILLIS);
		this.store.put(StoreFormat.ENDPOINT_TABLE, old.id, late);
		return () -> {
			unlist(old);
			old.close();
		};
	}

	/**
	 * Lets an endpoint say in its answers that it leaves, and starts another one in its
	 * place. The row of the old one stays as it is, and it serves on until it is closed.
	 * @param place a place whose endpoint can answer in other ways
	 * @return closes the old endpoint
	 * @throws IOException if the new endpoint cannot listen
	 */
	Leaving leave(Place place) throws IOException {
		synchronized (place) {
			Occupant old = place.occupant();
			EndpointEmulator emulator = place.emulator;
			if (emulator != null) {
				emulator.leave();
			}
			fill(place);
			return () -> {
				unlist(old);
				old.close();
			};
		}
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		for (Place place : this.places) {
			place.occupant().close();
		}
	}

	/**
	 * Ends an endpoint that has drained.
	 */
	@FunctionalInterface
	interface Leaving {

		/**
		 * Removes its row and closes it.
		 * @throws IOException if it cannot be closed
		 */
		void end() throws IOException;

	}

	/**
	 * A place for an endpoint of a service.
	 */
	static final class Place {

		private final String service;

		private final String zone;

		private volatile @Nullable Occupant occupant;

		private volatile @Nullable EndpointEmulator emulator;

		private Place(String service, String zone) {
			this.service = service;
			this.zone = zone;
		}

		private Occupant occupant() {
			Occupant present = this.occupant;
			if (present == null) {
				throw new IllegalStateException("no endpoint was started");
			}
			return present;
		}

		// Connections to a crashed endpoint are refused, as without the proxy.
		private void closeProxy() {
			try {
				occupant().proxy.close();
			}
			catch (IOException ex) {
				// It is closed already.
			}
		}

		LoopbackProxy proxy() {
			return occupant().proxy;
		}

		String endpoint() {
			return occupant().id;
		}

		/**
		 * Lets the endpoint answer in another way.
		 * @param mode how it answers
		 */
		void setMode(EndpointEmulator.Mode mode) {
			EndpointEmulator present = this.emulator;
			if (present != null) {
				present.setMode(mode);
			}
		}

	}

	private record Entry(String service, Occupant occupant, String state) {
	}

	private record Occupant(String id, String zone, Closeable server, LoopbackProxy proxy, long bornMillis) {

		private void close() throws IOException {
			this.proxy.close();
			this.server.close();
		}

	}

}
