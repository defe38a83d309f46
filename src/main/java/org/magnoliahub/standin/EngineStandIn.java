package org.magnoliahub.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.javalin.http.Context;

/**
 * Stand-in for an engine: {@code POST /v1/completions}, {@code /v1/embeddings},
 * {@code /v1/retrieve} and {@code /v1/rerank}, {@code GET /load}, {@code GET /runs} and
 * {@code POST /faults}. Calls wait for a slot in order of {@code priority}. The first
 * token of a completion names the request, so that a caller can tell whether the answer
 * is its own. A cancelled call is noticed when the next token is written.
 */
public final class EngineStandIn implements AutoCloseable {

	private static final int DIMENSIONS = 8;

	private final StandInServer server;

	private final EngineSpeed speed;

	private EngineStandIn(EngineSpeed speed, long seed) {
		this.speed = speed;
		this.server = new StandInServer(speed.slots(), speed.maximumWaiting(), seed);
		this.server.serve("/v1/completions", this::complete);
		this.server.serve("/v1/embeddings", answering(EngineStandIn::embed));
		this.server.serve("/v1/retrieve", answering(EngineStandIn::retrieve));
		this.server.serve("/v1/rerank", answering(EngineStandIn::rerank));
		this.server.serveControl("/v2/repository/models/{name}/load");
		this.server.serveControl("/v2/repository/models/{name}/unload");
		this.server.serveControl("/v1/load_lora_adapter");
		this.server.serveControl("/v1/unload_lora_adapter");
	}

	/**
	 * Starts a stand-in.
	 * @param address local address
	 * @param port local port, 0 for any free port
	 * @param speed its speed
	 * @param seed seed of random faults
	 * @return the stand-in
	 */
	public static EngineStandIn start(String address, int port, EngineSpeed speed, long seed) {
		EngineStandIn engine = new EngineStandIn(speed, seed);
		engine.server.start(address, port);
		return engine;
	}

	private StandInServer.Work answering(Answer answer) {
		return (context, body, run, faults) -> {
			TimeUnit.MILLISECONDS.sleep(this.speed.firstTokenMs());
			this.server.writeDocument(context, faults, answer.to(body));
		};
	}

	private void complete(Context context, JsonNode body, Run run, Faults faults)
			throws IOException, InterruptedException {
		int tokens = Math.max(1, body.path("max_tokens").asInt(16));
		context.contentType("text/event-stream");
		long start = System.nanoTime();
		for (int token = 0; token < tokens; token++) {
			sleepUntil(start, this.speed.firstTokenMs() + token * this.speed.tokenMs());
			if (faults.cutAfterTokens() != null && token >= faults.cutAfterTokens()) {
				return;
			}
			String text = (token == 0) ? "request " + run.requestId() + ":" : " t" + token;
			this.server.writeEvent(context, Map.of("choices", List.of(Map.of("index", 0, "text", text))));
		}
		this.server.writeEvent(context, Map.of("choices", List.of(), "usage", Map.of("completion_tokens", tokens)));
		this.server.writeEvent(context, "[DONE]");
	}

	private static void sleepUntil(long startNanos, long offsetMillis) throws InterruptedException {
		long remaining = startNanos + TimeUnit.MILLISECONDS.toNanos(offsetMillis) - System.nanoTime();
		if (remaining > 0) {
			TimeUnit.NANOSECONDS.sleep(remaining);
		}
	}

	private static Object embed(JsonNode body) {
		int hash = body.path("input").asText().hashCode();
		List<Double> embedding = new ArrayList<>();
		for (int i = 0; i < DIMENSIONS; i++) {
			embedding.add(Integer.rotateLeft(hash, 4 * i) / (double) Integer.MAX_VALUE);
		}
		return Map.of("data", List.of(Map.of("index", 0, "embedding", embedding)), "usage", Map.of("total_tokens", 1));
	}

	private static Object retrieve(JsonNode body) {
		List<String> documents = new ArrayList<>();
		int count = Math.max(1, Math.min(1_000, body.path("top_k").asInt(5)));
		for (int i = 0; i < count; i++) {
			documents.add("document " + i + " about " + body.path("query").asText());
		}
		return Map.of("documents", documents);
	}

	private static Object rerank(JsonNode body) {
		List<Object> results = new ArrayList<>();
		int count = body.path("documents").size();
		for (int i = 0; i < count; i++) {
			// Later documents are more relevant, so that the order changes.
			results.add(Map.of("index", i, "relevance_score", (i + 1) / (double) count));
		}
		return Map.of("results", results);
	}

	/**
	 * Returns the local port.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Returns the runs so far.
	 * @return the runs in order of their start
	 */
	public List<Run> runs() {
		return this.server.runs();
	}

	/**
	 * Sets the faults of further calls.
	 * @param faults the faults
	 */
	public void setFaults(Faults faults) {
		this.server.setFaults(faults);
	}

	/**
	 * Stops the stand-in.
	 */
	@Override
	public void close() {
		this.server.stop();
	}

	private interface Answer {

		Object to(JsonNode body);

	}

}
