package org.magnoliahub.experiment;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.ConnectionPool;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.Okio;
import org.jspecify.annotations.Nullable;

/**
 * Sends the calls of a schedule at their intended times, whether or not earlier answers
 * have arrived. A call that finds all threads busy waits, and its wait counts.
 */
final class LoadRun implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final MediaType JSON = MediaType.get("application/json");

	private static final String EVENT_STREAM = "text/event-stream";

	private static final String FILLER = "conformity of the red door paint at the north gate ";

	private final LoadMix mix;

	private final HttpUrl gateway;

	private final @Nullable HttpUrl backEnd;

	private final long seed;

	private final OkHttpClient client;

	private final ExecutorService callers;

	private final List<LoadStatistics> viaGateway = new ArrayList<>();

	private final List<LoadStatistics> straight = new ArrayList<>();

	private final Set<String> requestIds = ConcurrentHashMap.newKeySet();

	LoadRun(LoadMix mix, HttpUrl gateway, @Nullable HttpUrl backEnd, int maximumInFlight, Duration timeout, long seed) {
		this.mix = mix;
		this.gateway = gateway;
		this.backEnd = backEnd;
		this.seed = seed;
		this.callers = Executors.newFixedThreadPool(maximumInFlight);
		this.client = new OkHttpClient.Builder().callTimeout(timeout)
			.readTimeout(timeout)
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.connectionPool(new ConnectionPool(maximumInFlight, 30, TimeUnit.SECONDS))
			.build();
		mix.classes().forEach((ignored) -> {
			this.viaGateway.add(new LoadStatistics());
			this.straight.add(new LoadStatistics());
		});
	}

	/**
	 * Sends all calls and waits for their answers.
	 * @param calls the schedule
	 * @param patience longest wait after the last call was sent
	 * @return whether all calls ended
	 * @throws InterruptedException if the wait is interrupted
	 */
	boolean send(List<LoadMix.PlannedCall> calls, Duration patience) throws InterruptedException {
		long start = System.nanoTime();
		for (LoadMix.PlannedCall call : calls) {
			long intended = start + TimeUnit.MICROSECONDS.toNanos(call.sendMicros());
			long wait = intended - System.nanoTime();
			if (wait > 0) {
				TimeUnit.NANOSECONDS.sleep(wait);
			}
			this.callers.execute(() -> measure(call, intended));
			if (this.backEnd != null && !this.mix.classes().get(call.classIndex()).directCalls().isEmpty()) {
				HttpUrl url = this.backEnd;
				this.callers.execute(() -> measureDirect(url, call, intended));
			}
		}
		this.callers.shutdown();
		return this.callers.awaitTermination(patience.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void measure(LoadMix.PlannedCall call, long intended) {
		LoadMix.ClassMix declared = this.mix.classes().get(call.classIndex());
		long sent = System.nanoTime();
		LoadAnswer answer = submit(declared, call);
		if (answer.isComplete() && !answer.requestId().isEmpty() && !this.requestIds.add(answer.requestId())) {
			answer = answer.withFault(LoadAnswer.FOREIGN);
		}
		this.viaGateway.get(call.classIndex())
			.add(answer, intended, sent, System.nanoTime(), declared.deadlineMillis());
	}

	private LoadAnswer submit(LoadMix.ClassMix declared, LoadMix.PlannedCall call) {
		String key = declared.idempotencyKey()
				? "load-" + this.seed + "-" + declared.requestClass() + "-" + call.number() : "";
		ObjectNode body = MAPPER.createObjectNode().put("class", declared.requestClass());
		ObjectNode input = body.putObject("input");
		if (declared.input() instanceof ObjectNode further) {
			input.setAll(further);
		}
		input.put("prompt", prompt(call));
		Request.Builder request = new Request.Builder()
			.url(this.gateway.newBuilder().addPathSegments("v1/pipelines/" + declared.pipeline() + "/requests").build())
			.header("Workspace", call.workspace())
			.header("Accept", declared.stream() ? EVENT_STREAM : "application/json")
			.header("Request-Timeout-Ms", String.valueOf(declared.deadlineMillis()))
			.post(RequestBody.create(body.toString(), JSON));
		if (!key.isEmpty()) {
			request.header("Idempotency-Key", key);
		}
		boolean begun = false;
		try (Response response = this.client.newCall(request.build()).execute()) {
			begun = true;
			ResponseBody answer = response.body();
			if (answer == null) {
				return LoadAnswer.missing("no_body", true);
			}
			if (response.header("Content-Type", "").startsWith(EVENT_STREAM)) {
				return LoadAnswer.ofStream(answer.source(), declared.expectedTexts(), key);
			}
			return LoadAnswer.ofDocument(answer.string(), declared.expectedTexts(), key);
		}
		catch (IOException ex) {
			return LoadAnswer.missing(ex.getClass().getSimpleName(), begun);
		}
	}

	private void measureDirect(HttpUrl url, LoadMix.PlannedCall call, long intended) {
		LoadMix.ClassMix declared = this.mix.classes().get(call.classIndex());
		long sent = System.nanoTime();
		long firstPart = 0;
		String reason = "";
		boolean whole = true;
		for (LoadMix.DirectCall direct : declared.directCalls()) {
			Request request = new Request.Builder().url(url.newBuilder().encodedPath(direct.path()).build())
				.post(RequestBody.create(fill(direct.body(), prompt(call)).toString(), JSON))
				.build();
			try (Response response = this.client.newCall(request).execute()) {
				ResponseBody body = response.body();
				whole = whole && response.isSuccessful() && body != null;
				reason = response.isSuccessful() ? reason : "status_" + response.code();
				if (body != null && body.source().readUtf8Line() != null) {
					firstPart = System.nanoTime();
					body.source().readAll(Okio.blackhole());
				}
			}
			catch (IOException ex) {
				whole = false;
				reason = ex.getClass().getSimpleName();
			}
		}
		LoadAnswer answer = whole ? new LoadAnswer(LoadAnswer.COMPLETE, "", "", "", firstPart, 0)
				: LoadAnswer.missing(reason, false);
		this.straight.get(call.classIndex()).add(answer, intended, sent, System.nanoTime(), declared.deadlineMillis());
	}

	private static JsonNode fill(JsonNode body, String prompt) {
		ObjectNode filled = body.deepCopy();
		for (String field : new String[] { "prompt", "input", "query" }) {
			if (filled.path(field).isTextual() && filled.path(field).asText().isEmpty()) {
				filled.put(field, prompt);
			}
		}
		return filled;
	}

	private static String prompt(LoadMix.PlannedCall call) {
		int size = call.inputCharacters();
		return FILLER.repeat(size / FILLER.length() + 1).substring(0, size);
	}

	LoadMix mix() {
		return this.mix;
	}

	LoadStatistics viaGateway(int classIndex) {
		return this.viaGateway.get(classIndex);
	}

	LoadStatistics straight(int classIndex) {
		return this.straight.get(classIndex);
	}

	@Override
	public void close() {
		this.callers.shutdownNow();
		this.client.connectionPool().evictAll();
	}

}
