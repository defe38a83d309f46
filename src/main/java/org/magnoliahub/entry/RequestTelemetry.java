package org.magnoliahub.entry;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.model.AttemptRecord;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.RequestRecord;
import org.magnoliahub.serving.CallerRequest;
import org.magnoliahub.serving.EndpointChoice;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.Route;
import org.magnoliahub.serving.StageAdmission;

/**
 * Log lines, metrics and the record of one request.
 */
final class RequestTelemetry {

	/** Name of the last step in the report, after all stages. */
	private static final String REQUEST_STAGE = "request";

	private static final String NO_ID = "(none)";

	private static final int FIRST_FAILURE = 400;

	private final EntryContext context;

	private final CallerRequest request;

	private final long arrivedMillis;

	private final List<AttemptRecord> attempts = new ArrayList<>();

	private final RequestTimings steps = new RequestTimings();

	private @Nullable Route route;

	private @Nullable String workspace;

	private String endpoint = "";

	private int attempt;

	private long sentMillis;

	RequestTelemetry(EntryContext context, CallerRequest request, long arrivedMillis) {
		this.context = context;
		this.request = request;
		this.arrivedMillis = arrivedMillis;
	}

	void setRoute(Route found) {
		this.route = found;
	}

	/**
	 * Returns the age of the request.
	 * @return milliseconds since its arrival
	 */
	long age() {
		return this.context.now() - this.arrivedMillis;
	}

	void admitted(@Nullable String named, long budgetMillis, long configurationVersion) {
		this.workspace = named;
		line(EntryEvent.REQUEST_ADMITTED).field("route", routeName())
			.field("workspace", (named != null) ? named : "")
			.field("budget_ms", budgetMillis)
			.field("pieces", this.request.pieces().toString())
			.field("configuration", configurationVersion)
			.write();
	}

	void stagesDecided(StageAdmission.Estimate admission, boolean starts) {
		line(EntryEvent.STAGES_DECIDED).field("wait_ms", admission.waitMillis())
			.field("chain_ms", admission.chainMillis())
			.field("least_ms", admission.minimumChainMillis())
			.field("objective_ms", admission.objectiveMillis())
			.field("patience_ms", admission.callerTimeoutMillis())
			.field("rank", admission.priority())
			.field("outcome", starts ? "start" : "refuse")
			.write();
	}

	void sent(EndpointChoice choice, int number) {
		this.endpoint = choice.endpoint().record().id();
		this.attempt = number;
		this.sentMillis = this.context.now();
		this.steps.sent(this.sentMillis);
		line(EntryEvent.REQUEST_SENT).field("endpoint", this.endpoint)
			.field("attempt", number)
			.field("age_ms", age())
			.field("expected_ms", choice.expectedMillis())
			.field("doubtful", choice.isLastResort())
			.field("list_age_ms", this.context.directory().ageMillis(this.context.now()))
			.write();
	}

	void attemptFailed(String failing, int number, String reason, boolean mayHaveRun, String next) {
		attemptEnded(mayHaveRun ? "failed" : "never_started");
		this.steps.attemptFailed(this.context.now());
		line(EntryEvent.ATTEMPT_FAILED).field("endpoint", failing)
			.field("attempt", number)
			.field("age_ms", age())
			.field("reason", reason)
			.field("may_have_run", mayHaveRun)
			.field("next", next)
			.write();
		this.context.metrics().attemptFailed(mayHaveRun, next);
	}

	/**
	 * Notes the end of a stage.
	 * @param service service of the stage
	 * @param pieces number of its pieces
	 * @param startedMillis monotonic time of its submission
	 * @param last its last piece
	 */
	void stageEnded(String service, int pieces, long startedMillis, PieceResult last) {
		boolean complete = last.handle() != null;
		this.steps.stage(this.context.now() - startedMillis, last.times());
		this.attempts.add(new AttemptRecord(service, "", 1, 0, this.context.now() - startedMillis,
				complete ? "completed" : "failed", pieces));
	}

	private void attemptEnded(String result) {
		if (this.endpoint.isEmpty()) {
			return;
		}
		this.attempts.add(new AttemptRecord(REQUEST_STAGE, this.endpoint, this.attempt, 0,
				this.context.now() - this.sentMillis, result, 1));
		this.endpoint = "";
	}

	/**
	 * Notes events of a stream that are passed on.
	 */
	void eventsPassed() {
		this.steps.events(this.context.now());
	}

	void resumed(@Nullable String lastEventId) {
		line(EntryEvent.STREAM_RESUMED).field("last_event", (lastEventId != null) ? lastEventId : "").write();
	}

	void refused(int status, String reason, long retryAfterMillis) {
		endLine(EntryEvent.REQUEST_REFUSED, status).field("reason", reason)
			.field("retry_after_ms", retryAfterMillis)
			.write();
		count("refused", reason);
		record("not_run", reason, false);
	}

	/**
	 * Notes a request that ended after it may have run.
	 * @param status the status, or zero for a stream that was broken off
	 * @param reason what happened
	 */
	void failed(int status, String reason) {
		endLine(EntryEvent.REQUEST_FAILED, status).field("reason", reason).write();
		count("failed", reason);
		attemptEnded("failed");
		record(isRepeatable() ? "failed" : "outcome_unknown", reason, false);
	}

	/**
	 * Notes an answer that was passed on.
	 * @param status the status
	 * @param firstMillis time to the first event of a stream, negative for other answers
	 * @param answering id of the endpoint
	 */
	void answered(int status, long firstMillis, String answering) {
		this.steps.answer(this.context.now());
		endLine(EntryEvent.REQUEST_ANSWERED, status).field("first_ms", firstMillis)
			.field("endpoint", answering)
			.write();
		count("answered", "");
		boolean success = status < FIRST_FAILURE;
		attemptEnded(success ? "completed" : "failed");
		long decisive = (firstMillis >= 0) ? firstMillis : age();
		boolean inTime = success && this.route != null && decisive <= this.route.latencyObjectiveMillis();
		record(success ? "complete" : "failed", success ? "" : "status_" + status, inTime);
	}

	void cancelled(String state) {
		line(EntryEvent.REQUEST_CANCELLED).field("age_ms", age()).field("state", state).write();
		count("cancelled", "");
		attemptEnded("cancelled");
		record((this.sentMillis > 0) ? "failed" : "not_run", "caller_gone", false);
	}

	private boolean isRepeatable() {
		return this.route != null && this.route.isRetryable();
	}

	private void record(String outcome, String reason, boolean inTime) {
		String text = this.request.requestId();
		String id = text.isBlank() ? NO_ID : text.substring(0, Math.min(text.length(), RequestId.MAXIMUM_LENGTH));
		long millis = age();
		this.context.requestRecorder()
			.record(new RequestRecord(new RequestId(id), this.context.gatewayName(),
					(this.workspace != null) ? this.workspace : "", routeName(), routeName(),
					Instant.now().minusMillis(millis), millis, outcome, EntryMetrics.reasonCode(reason), reason, inTime,
					this.attempts));
	}

	private EntryLog.Line endLine(EntryEvent event, int status) {
		EntryLog.Line line = line(event).field("route", routeName())
			.field("status", status)
			.field("age_ms", age())
			.field("objective_ms", (this.route != null) ? this.route.latencyObjectiveMillis() : 0);
		this.steps.writeTo(line);
		return line;
	}

	private EntryLog.Line line(EntryEvent event) {
		return this.context.log().event(event).field("id", this.request.requestId());
	}

	private String routeName() {
		return (this.route != null) ? this.route.name() : "";
	}

	private void count(String outcome, String reason) {
		String kind = (this.route != null) ? this.route.kind().name().toLowerCase(Locale.ROOT) : "none";
		this.context.metrics().requestEnded(kind, outcome, reason, age());
	}

}
