package org.magnoliahub.enginehttp;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Emitter;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Notification;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.schedulers.Schedulers;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSink;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.agent.EndpointClient;
import org.magnoliahub.agent.EndpointEvent;
import org.magnoliahub.agent.EndpointException;
import org.magnoliahub.model.Arguments;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.model.StageType;
import org.magnoliahub.okhttp.ResponseChecks;
import org.magnoliahub.protocol.ControlAction;
import org.magnoliahub.protocol.Message;

/**
 * Calls a model engine or a plain service over HTTP/1.1. Each call is sent at most once:
 * redirects are not followed and failed requests are not retried.
 *
 * <p>
 * The caller's input is a JSON object with the optional fields {@code prompt},
 * {@code model}, {@code max_tokens}, {@code top_k}, {@code vector} and {@code documents},
 * or a JSON string that is the prompt. The output of an earlier stage is treated as a
 * vector if it is a nonempty JSON array of numbers, as documents if it is a JSON array of
 * strings, and as text otherwise. The last vector and the last documents among these
 * outputs override those of the input.
 *
 * <ul>
 * <li>GENERATE sends {@code model}, {@code prompt}, {@code max_tokens}, {@code stream}
 * and {@code priority}; the prompt consists of the caller's prompt, the documents and the
 * texts of earlier stages, separated by blank lines. Content: the streamed text. Units:
 * completion tokens.
 * <li>ENCODE sends {@code model} and {@code input} (the prompt). Content: the vector.
 * <li>RETRIEVE sends {@code query} (the prompt), {@code vector} and {@code top_k}.
 * Content: the documents.
 * <li>RERANK sends {@code model}, {@code query} (the prompt) and {@code documents}.
 * Content: the documents in descending order of relevance.
 * <li>SERVICE sends {@code workspace}, {@code input} (unchanged) and {@code previous}
 * (name and content of each earlier stage), and the header {@code Idempotency-Key}.
 * Content: the body of the response.
 * </ul>
 *
 * All calls carry the header {@code Workspace}. Calls that belong to an attempt also
 * carry {@code Request-Id}, {@code Stage} and {@code Attempt}.
 */
public final class HttpEndpointClient implements EndpointClient {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration LOAD_REPORT_TIMEOUT = Duration.ofSeconds(2);

	// Loading a model transfers many gigabytes from a rate-limited store.
	private static final Duration CONTROL_TIMEOUT = Duration.ofMinutes(10);

	private static final int PREFETCHED_EVENTS = 16;

	private static final MediaType JSON = MediaType.get("application/json");

	private final OkHttpClient client;

	private final HttpUrl baseUrl;

	private final String defaultModel;

	private final Scheduler eventLoop;

	private final ObjectMapper mapper = new ObjectMapper();

	private HttpEndpointClient(HttpUrl baseUrl, String defaultModel, Scheduler eventLoop) {
		this.baseUrl = baseUrl;
		this.defaultModel = defaultModel;
		this.eventLoop = eventLoop;
		this.client = ResponseChecks.addTo(new OkHttpClient.Builder())
			.connectTimeout(CONNECT_TIMEOUT)
			.readTimeout(Duration.ZERO)
			.writeTimeout(Duration.ZERO)
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.build();
	}

	/**
	 * Creates a client.
	 * @param baseUrl scheme, host and port of the back end, for example
	 * {@code http://127.0.0.1:8000}
	 * @param defaultModel model to request if the input does not specify one, may be
	 * empty
	 * @param eventLoop scheduler that delivers all events
	 * @return the client
	 * @throws IllegalArgumentException if the URL is invalid
	 */
	public static HttpEndpointClient create(String baseUrl, String defaultModel, Scheduler eventLoop) {
		return new HttpEndpointClient(HttpUrl.get(baseUrl), defaultModel, eventLoop);
	}

	@Override
	public Flowable<EndpointEvent> call(StageCall call, Duration budget, int priority) {
		Arguments.requireRange(budget.toMillis(), 1, Long.MAX_VALUE, "budget in ms");
		return Flowable.<Notification<EndpointEvent>>defer(() -> {
			StageRequest stageRequest;
			EndpointExchange exchange;
			try {
				stageRequest = StageRequest.of(this.mapper, call);
				exchange = EndpointExchange.create(this.client, buildRequest(call, stageRequest, priority), budget);
			}
			catch (JsonProcessingException | IllegalArgumentException ex) {
				return Flowable.error(new EndpointException("call cannot be sent: " + ex.getMessage(), false));
			}
			JsonNode documents = stageRequest.documents();
			// Errors pass the cancellation as notifications: an error that the
			// cancellation itself causes has no subscriber left to receive it.
			return Flowable
				.generate(() -> openReader(call.type(), documents, exchange), HttpEndpointClient::emitNextEvent,
						ResponseReader::close)
				.subscribeOn(Schedulers.io())
				.materialize()
				.doOnCancel(exchange::cancel);
		}).observeOn(this.eventLoop, false, PREFETCHED_EVENTS).dematerialize((notification) -> notification);
	}

	private Request.Builder buildRequest(StageCall call, StageRequest stageRequest, int priority)
			throws JsonProcessingException {
		Request.Builder request = new Request.Builder().url(this.baseUrl.newBuilder().encodedPath(call.path()).build())
			.header("Workspace", call.workspace())
			.post(new OneShotBody(stageRequest.buildBody(this.defaultModel, priority)));
		if (call.type() == StageType.SERVICE) {
			call.idempotencyKey().ifPresent((key) -> request.header("Idempotency-Key", key));
		}
		call.attempt().ifPresent((attempt) -> addAttemptHeaders(request, attempt));
		return request;
	}

	private static void addAttemptHeaders(Request.Builder request, AttemptId attempt) {
		request.header("Request-Id", attempt.request().value())
			.header("Stage", Integer.toString(attempt.stage()))
			.header("Attempt", Integer.toString(attempt.attempt()));
	}

	private ResponseReader openReader(StageType type, JsonNode inputDocuments, EndpointExchange exchange)
			throws EndpointException {
		Response response = exchange.execute();
		return (type == StageType.GENERATE) ? new CompletionStreamReader(this.mapper, exchange, response)
				: new BufferedResponseReader(this.mapper, type, inputDocuments, exchange, response);
	}

	private static void emitNextEvent(ResponseReader reader, Emitter<EndpointEvent> emitter) throws EndpointException {
		EndpointEvent event = reader.nextEvent();
		if (event instanceof EndpointEvent.Finished) {
			// The subscriber cancels after the last event. Closing the response first
			// keeps that from closing a connection that could be reused.
			reader.close();
			emitter.onNext(event);
			emitter.onComplete();
			return;
		}
		emitter.onNext(event);
	}

	@Override
	public Single<Message.LoadReport> load() {
		return Single.create(this::requestLoadReport).subscribeOn(Schedulers.io()).observeOn(this.eventLoop);
	}

	private void requestLoadReport(SingleEmitter<Message.LoadReport> emitter) {
		Request.Builder request = new Request.Builder().url(this.baseUrl.newBuilder().encodedPath("/load").build());
		EndpointExchange exchange = EndpointExchange.create(this.client, request, LOAD_REPORT_TIMEOUT);
		emitter.setCancellable(exchange::cancel);
		try {
			emitter.onSuccess(fetchLoadReport(exchange));
		}
		catch (IOException ex) {
			emitter.tryOnError(exchange.toEndpointException(ex));
		}
		catch (EndpointException ex) {
			emitter.tryOnError(ex);
		}
	}

	@Override
	public Completable control(ControlAction action, String argument, long fencingNumber) {
		return Completable.fromAction(() -> sendControlCommand(action, argument, fencingNumber))
			.subscribeOn(Schedulers.io())
			.observeOn(this.eventLoop);
	}

	private void sendControlCommand(ControlAction action, String argument, long fencingNumber)
			throws IOException, EndpointException {
		HttpUrl.Builder url = this.baseUrl.newBuilder();
		byte[] body = this.mapper.writeValueAsBytes(Map.of("lora_name", argument));
		switch (action) {
			case LOAD_MODEL ->
				url.addPathSegments("v2/repository/models").addPathSegment(argument).addPathSegment("load");
			case UNLOAD_MODEL ->
				url.addPathSegments("v2/repository/models").addPathSegment(argument).addPathSegment("unload");
			case LOAD_ADAPTER -> url.addPathSegments("v1/load_lora_adapter");
			case UNLOAD_ADAPTER -> url.addPathSegments("v1/unload_lora_adapter");
		}
		Request.Builder request = new Request.Builder().url(url.build())
			.header("Fencing-Number", Long.toString(fencingNumber))
			.post(new OneShotBody(body));
		EndpointExchange.create(this.client, request, CONTROL_TIMEOUT).execute().close();
	}

	private Message.LoadReport fetchLoadReport(EndpointExchange exchange) throws IOException, EndpointException {
		JsonNode load;
		try (Response response = exchange.execute()) {
			if (response.body() == null) {
				throw new EndpointException("load report has no body", true);
			}
			load = this.mapper.readTree(ResponseReader.readBody(response.body().source()));
		}
		JsonNode running = load.path("running");
		JsonNode waiting = load.path("waiting");
		if (!running.canConvertToInt() || !waiting.canConvertToInt()) {
			throw new EndpointException("load report must hold running and waiting", true);
		}
		return new Message.LoadReport(Math.max(0, running.intValue()), Math.max(0, waiting.intValue()), 0);
	}

	/**
	 * Closes idle connections. Calls in progress are not affected.
	 */
	public void close() {
		this.client.connectionPool().evictAll();
	}

	/**
	 * A request body that OkHttp sends only once. If a body can be resent, OkHttp retries
	 * the request after status 408, or 503 with {@code Retry-After: 0}.
	 */
	private static final class OneShotBody extends RequestBody {

		private final byte[] content;

		OneShotBody(byte[] content) {
			this.content = content;
		}

		@Override
		public @Nullable MediaType contentType() {
			return JSON;
		}

		@Override
		public long contentLength() {
			return this.content.length;
		}

		@Override
		public boolean isOneShot() {
			return true;
		}

		@Override
		public void writeTo(BufferedSink sink) throws IOException {
			sink.write(this.content);
		}

	}

}
