package org.magnoliahub.server;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Iterator;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import io.javalin.Javalin;
import io.javalin.http.Context;
import io.javalin.http.HttpResponseException;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.gateway.RequestCoordinator;
import org.magnoliahub.gateway.ResponseEvent;
import org.magnoliahub.gateway.Submission;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.RefusalReason;
import org.magnoliahub.model.RequestId;

/**
 * Paths that a gateway serves to callers.
 */
final class CallerRoutes {

	private static final String EVENT_STREAM = "text/event-stream";

	private final RequestCoordinator coordinator;

	private final Scheduler eventLoop;

	private CallerRoutes(RequestCoordinator coordinator, Scheduler eventLoop) {
		this.coordinator = coordinator;
		this.eventLoop = eventLoop;
	}

	/**
	 * Adds the paths.
	 * @param javalin the server
	 * @param coordinator core of the gateway
	 * @param eventLoop the event loop that the core runs on
	 */
	static void add(Javalin javalin, RequestCoordinator coordinator, Scheduler eventLoop) {
		CallerRoutes routes = new CallerRoutes(coordinator, eventLoop);
		javalin.post("/v1/pipelines/{pipeline}/requests", routes::submit);
		javalin.get("/v1/requests/{requestId}", routes::findByRequestId);
		javalin.get("/v1/workspaces/{workspace}/outcomes/{idempotencyKey}", routes::findByKey);
		javalin.exception(InvalidRequestException.class, (failure, context) -> refuse(context, failure.getMessage()));
		javalin.exception(HttpResponseException.class, (failure, context) -> {
			refuse(context, failure.getMessage());
			context.status(failure.getStatus());
		});
	}

	private void submit(Context context) throws InvalidRequestException {
		Submission submission = read(context);
		Flowable<ResponseEvent> events = this.coordinator.submit(submission)
			.subscribeOn(this.eventLoop)
			.unsubscribeOn(this.eventLoop)
			.takeUntil((event) -> event instanceof ResponseEvent.Finished);
		String accept = context.header("Accept");
		if (accept != null && accept.contains(EVENT_STREAM)) {
			stream(context, events);
			return;
		}
		Single<ResponseEvent.Finished> finished = events.ofType(ResponseEvent.Finished.class).firstOrError();
		context.future(() -> toFuture(finished).thenAccept((event) -> answer(context, event)));
	}

	private Submission read(Context context) throws InvalidRequestException {
		JsonNode body = body(context);
		String workspace = context.header("Workspace");
		if (workspace == null) {
			throw new InvalidRequestException("the header Workspace is required");
		}
		return new Submission(workspace, context.pathParam("pipeline"), body.get("class").asText(),
				Optional.ofNullable(context.header("Idempotency-Key")), body.get("input").toString(),
				budget(context.header("Request-Timeout-Ms")));
	}

	// A caller that names no pipeline of the configuration learns that first.
	private JsonNode body(Context context) throws InvalidRequestException {
		try {
			return SubmissionBody.parse(context.bodyAsBytes());
		}
		catch (InvalidRequestException ex) {
			String pipeline = context.pathParam("pipeline");
			boolean declared = Single.fromCallable(() -> this.coordinator.isPipelineDeclared(pipeline))
				.subscribeOn(this.eventLoop)
				.blockingGet();
			throw declared ? ex
					: new InvalidRequestException("pipeline '" + pipeline + "' is not declared; " + ex.getMessage());
		}
	}

	private static Optional<Duration> budget(@Nullable String header) throws InvalidRequestException {
		if (header == null) {
			return Optional.empty();
		}
		try {
			return Optional.of(Duration.ofMillis(Long.parseLong(header.trim())));
		}
		catch (NumberFormatException ex) {
			throw new InvalidRequestException(
					"the header Request-Timeout-Ms must be a whole number of milliseconds, but was '" + header + "'");
		}
	}

	private static void answer(Context context, ResponseEvent.Finished event) {
		answer(context, event.request().value(), event.outcome());
	}

	private static void answer(Context context, String requestId, Outcome outcome) {
		context.status(OutcomeJson.statusOf(outcome)).contentType("application/json");
		if (outcome instanceof Outcome.NotRun notRun && !notRun.retryAfter().isZero()) {
			long seconds = Math.max(1, (notRun.retryAfter().toMillis() + 999) / 1000);
			context.header("Retry-After", String.valueOf(seconds));
		}
		context.result(OutcomeJson.render(requestId, outcome));
	}

	private static void refuse(Context context, @Nullable String detail) {
		answer(context, "", new Outcome.NotRun(RefusalReason.INVALID_REQUEST, String.valueOf(detail), Duration.ZERO));
	}

	private static void stream(Context context, Flowable<ResponseEvent> events) {
		context.contentType(EVENT_STREAM).header("Cache-Control", "no-store");
		// Closing the stream after a failed write disposes the request.
		try (Stream<ResponseEvent> stream = events.blockingStream()) {
			OutputStream output = context.res().getOutputStream();
			Iterator<ResponseEvent> iterator = stream.iterator();
			while (iterator.hasNext()) {
				output.write(frame(iterator.next()).getBytes(StandardCharsets.UTF_8));
				output.flush();
			}
		}
		catch (IOException ex) {
			context.attribute("callerGone", true);
		}
	}

	private static String frame(ResponseEvent event) {
		if (event instanceof ResponseEvent.Chunk part) {
			return "event: chunk\ndata: " + OutcomeJson.renderPart(part.content()) + "\n\n";
		}
		if (event instanceof ResponseEvent.Finished finished) {
			return "event: outcome\ndata: " + OutcomeJson.render(finished.request().value(), finished.outcome())
					+ "\n\n";
		}
		return "event: restart\ndata: {}\n\n";
	}

	private void findByRequestId(Context context) throws InvalidRequestException {
		RequestId id = requestId(context.pathParam("requestId"));
		Single<Optional<Outcome>> found = Single.fromCallable(() -> this.coordinator.findRecentOutcome(id))
			.subscribeOn(this.eventLoop);
		context.future(() -> toFuture(found).thenAccept((outcome) -> answerLookup(context, id.value(), outcome)));
	}

	private static RequestId requestId(String text) throws InvalidRequestException {
		try {
			return new RequestId(text);
		}
		catch (IllegalArgumentException ex) {
			throw new InvalidRequestException(String.valueOf(ex.getMessage()));
		}
	}

	private void findByKey(Context context) {
		Single<Optional<Outcome>> found = Single.defer(
				() -> this.coordinator.findOutcome(context.pathParam("workspace"), context.pathParam("idempotencyKey")))
			.subscribeOn(this.eventLoop);
		context.future(() -> toFuture(found).handle((outcome, failure) -> {
			if (failure != null) {
				context.status(503).contentType("application/json");
				context.result("{\"error\":\"the table service does not answer; try again later\"}");
			}
			else {
				answerLookup(context, "", outcome);
			}
			return outcome;
		}));
	}

	private static void answerLookup(Context context, String requestId, Optional<Outcome> outcome) {
		if (outcome.isEmpty()) {
			context.status(404).contentType("application/json");
			context.result("{\"error\":\"no outcome is known here; the request may have ended long ago, "
					+ "still run, or be known to another gateway\"}");
			return;
		}
		answer(context, requestId, outcome.get());
		context.status(200);
	}

	private static <T> CompletableFuture<T> toFuture(Single<T> single) {
		return single.toCompletionStage().toCompletableFuture();
	}

}
