package org.magnoliahub.entry;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CrashTrigger;
import org.magnoliahub.platform.emulator.EndpointEmulator;
import org.magnoliahub.platform.emulator.EndpointRequest;
import org.magnoliahub.platform.emulator.EndpointRun;
import org.magnoliahub.platform.emulator.LoopbackListener;
import org.magnoliahub.platform.emulator.RunObserver;

/**
 * Engines that end when they begin to answer a request with a certain part of its prompt,
 * each replaced a moment later by one with another id.
 */
final class CrashingEngines implements RunObserver, Closeable {

	static final String PART = "bad0";

	private static final int SLOTS = 8;

	private static final long REPLACEMENT_MILLIS = 400;

	private final EntryFixture fixture;

	private final List<EndpointEmulator> engines = new CopyOnWriteArrayList<>();

	private final AtomicInteger nextId = new AtomicInteger();

	private final AtomicInteger crashes = new AtomicInteger();

	private final AtomicInteger crashingArrivals = new AtomicInteger();

	private volatile boolean closed;

	CrashingEngines(EntryFixture fixture, int count) throws IOException {
		this.fixture = fixture;
		for (int index = 0; index < count; index++) {
			add();
		}
	}

	private void add() throws IOException {
		String id = "e-" + this.nextId.incrementAndGet();
		EndpointEmulator engine = EndpointEmulator.start(id, SLOTS, this);
		engine.setCrashTrigger(new CrashTrigger(PART, () -> onEnd(id, true)));
		this.engines.add(engine);
		this.fixture.listEndpoint(id, "model", engine.address(), "ready");
	}

	private void onEnd(String id, boolean crashed) {
		if (crashed) {
			this.crashes.incrementAndGet();
		}
		LoopbackListener.daemon(() -> replace(id));
	}

	private void replace(String id) {
		EntryFixture.pause(REPLACEMENT_MILLIS);
		if (this.closed) {
			return;
		}
		this.fixture.store.remove(StoreFormat.ENDPOINT_TABLE, id);
		try {
			add();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Ends all engines at the same moment, as a loss of power does.
	 */
	void endAll() throws IOException {
		List<EndpointEmulator> running = List.copyOf(this.engines);
		int last = this.nextId.get();
		for (EndpointEmulator engine : running) {
			engine.close();
		}
		for (int number = last - running.size() + 1; number <= last; number++) {
			onEnd("e-" + number, false);
		}
	}

	int crashes() {
		return this.crashes.get();
	}

	/**
	 * Returns how many requests with the part have reached an engine.
	 */
	int crashingArrivals() {
		return this.crashingArrivals.get();
	}

	@Override
	public void arrived(EndpointRequest request) {
		if (request.prompt().contains(PART)) {
			this.crashingArrivals.incrementAndGet();
		}
	}

	@Override
	public void started(EndpointRun run) {
		// Only arrivals are counted.
	}

	@Override
	public void ended(EndpointRun run) {
		// Only arrivals are counted.
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		for (EndpointEmulator engine : this.engines) {
			engine.close();
		}
	}

}
