package org.magnoliahub.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;

/**
 * Endpoints that answer each request with a handler of its own, so that tests can share
 * them.
 */
final class RequestHandlers implements RawServer.Handler {

	private final Map<String, RawServer.Handler> handlers = new ConcurrentHashMap<>();

	private final AtomicInteger nextId = new AtomicInteger();

	private final EntryFixture fixture;

	private RequestHandlers(EntryFixture fixture) {
		this.fixture = fixture;
	}

	/**
	 * Adds two endpoints of each of the services to a fixture, and waits until its
	 * gateway knows them.
	 */
	static RequestHandlers addEndpoints(EntryFixture fixture, String... services)
			throws IOException, InterruptedException {
		RequestHandlers handlers = new RequestHandlers(fixture);
		for (String service : services) {
			fixture.addEndpoint(service + "-1", service, handlers);
			fixture.addEndpoint(service + "-2", service, handlers);
		}
		fixture.awaitEndpoints();
		return handlers;
	}

	/**
	 * Returns the id of a request that its endpoint answers with a handler.
	 */
	String register(RawServer.Handler handler) {
		String id = "r" + this.nextId.incrementAndGet();
		this.handlers.put(id, handler);
		return id;
	}

	/**
	 * Sends a request that its endpoint answers with a handler.
	 */
	CallerAnswer send(String target, RawServer.Handler handler) throws IOException {
		return this.fixture.send("POST", target, register(handler));
	}

	@Override
	public void handle(RawServer.Request request, Socket socket) throws IOException {
		Objects.requireNonNull(this.handlers.get(request.header("Request-Id"))).handle(request, socket);
	}

}
