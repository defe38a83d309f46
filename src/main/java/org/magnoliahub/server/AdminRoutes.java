package org.magnoliahub.server;

import java.util.function.BooleanSupplier;

import io.javalin.Javalin;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Paths that every process serves to operators: {@code /health}, {@code /ready} and
 * {@code /metrics}.
 */
final class AdminRoutes {

	private AdminRoutes() {
	}

	/**
	 * Adds the paths.
	 * @param javalin the server
	 * @param ready whether the process accepts work
	 * @param meters counters
	 */
	static void add(Javalin javalin, BooleanSupplier ready, PrometheusMeterRegistry meters) {
		javalin.get("/health", (context) -> context.result("ok\n"));
		javalin.get("/ready", (context) -> {
			boolean isReady = ready.getAsBoolean();
			context.status(isReady ? 200 : 503).result(isReady ? "ready\n" : "not ready\n");
		});
		javalin.get("/metrics",
				(context) -> context.contentType("text/plain; version=0.0.4; charset=utf-8").result(meters.scrape()));
	}

}
