package org.magnoliahub.entry;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.StringJoiner;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.model.AttemptRecord;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.RequestRecord;
import org.magnoliahub.serving.CallerRequest;
import org.magnoliahub.serving.EndpointChoice;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.PromptBlocklist;
import org.magnoliahub.serving.PromptSegment;
import org.magnoliahub.serving.Route;
import org.magnoliahub.serving.StageAdmission;

/**
 * Reports one request to the event log, the metrics and the request records.
 */
final class RequestTelemetry {

	/** Name of the request itself among the stages in the daily report. */
	private static final String REQUEST_STAGE = "request";

	private static final String MISSING_ID = "(none)";

	private static final int FIRST_ERROR_STATUS = 400;

	private final EntryContext context;

	private final CallerRequest request;

	private final long arrivedMillis;

	private final List<AttemptRecord> attempts = new ArrayList<>();

	private final RequestTimings timings = new RequestTimings();

	private @Nullable Route route;

	private @Nullable String workspace;

	private String endpointId = "";

	private int attemptNumber;

	private long sentMillis;

	private boolean responseEndsWithConnection;

	private int responseRestBytes;

	RequestTelemetry(EntryContext context, CallerRequest request, long arrivedMillis) {
		this.context = context;
		this.request = request;
		this.arrivedMillis = arrivedMillis;
	}

	void setRoute(Route matched) {
		this.route = matched;
	}

	/**
	 * Returns the age of the request.
	 * @return the time since its arrival, in milliseconds
	 */
	long ageMillis() {
		return this.context.now() - this.arrivedMillis;
	}

	void admitted(@Nullable String workspaceName, long budgetMillis, long configurationVersion) {
		this.workspace = workspaceName;
		event(EntryEvent.REQUEST_ADMITTED).field("route", routeName())
			.field("workspace", (workspaceName != null) ? workspaceName : "")
			.field("budget_ms", budgetMillis)
			.field("pieces", this.request.pieces().toString())
			.field("configuration", configurationVersion)
			.write();
	}

	void stagesDecided(StageAdmission.Estimate estimate, boolean admitted) {
		event(EntryEvent.STAGES_DECIDED).field("wait_ms", estimate.waitMillis())
			.field("chain_ms", estimate.chainMillis())
			.field("least_ms", estimate.minimumChainMillis())
			.field("objective_ms", estimate.objectiveMillis())
			.field("patience_ms", estimate.callerTimeoutMillis())
			.field("rank", estimate.priority())
			.field("outcome", admitted ? "start" : "refuse")
			.write();
	}

	void sent(EndpointChoice choice, int number) {
		this.endpointId = choice.endpoint().record().id();
		this.attemptNumber = number;
		this.sentMillis = this.context.now();
		this.timings.sent(this.sentMillis);
		event(EntryEvent.REQUEST_SENT).field("endpoint", this.endpointId)
			.field("attempt", number)
			.field("age_ms", ageMillis())
			.field("expected_ms", choice.expectedMillis())
			.field("doubtful", choice.isLastResort())
			.field("list_age_ms", this.context.directory().ageMillis(this.context.now()))
			.write();
	}

	void attemptFailed(String failedEndpointId, int number, String reason, boolean mayHaveExecuted, String next) {
		attemptEnded(mayHaveExecuted ? "failed" : "never_started");
		this.timings.attemptFailed(this.context.now());
		event(EntryEvent.ATTEMPT_FAILED).field("endpoint", failedEndpointId)
			.field("attempt", number)
			.field("age_ms", ageMillis())
			.field("reason", reason)
			.field("may_have_run", mayHaveExecuted)
			.field("next", next)
			.field("prompt", promptIds())
			.write();
		this.context.metrics().attemptFailed(mayHaveExecuted, next);
	}

	/**
	 * Records that a request has a blocked part in its prompt.
	 * @param part the part
	 * @param tried whether the request is sent nevertheless
	 */
	void promptBlocked(PromptSegment part, boolean tried) {
		event(EntryEvent.PROMPT_REFUSED).field("part", part.id())
			.field("part_hash", Long.toHexString(PromptBlocklist.part(part)))
			.field("outcome", tried ? "try" : "refuse")
			.write();
	}

	/**
	 * Records the end of a stage.
	 * @param service the service of the stage
	 * @param pieces the number of its pieces
	 * @param startedMillis the monotonic time of its submission, in milliseconds
	 * @param lastResult the result of its last piece
	 */
	void stageEnded(String service, int pieces, long startedMillis, PieceResult lastResult) {
		boolean complete = lastResult.handle() != null;
		this.timings.stageEnded(this.context.now() - startedMillis, lastResult.times());
		this.attempts.add(new AttemptRecord(service, "", 1, 0, this.context.now() - startedMillis,
				complete ? "completed" : "failed", pieces));
	}

	private void attemptEnded(String result) {
		if (this.endpointId.isEmpty()) {
			return;
		}
		this.attempts.add(new AttemptRecord(REQUEST_STAGE, this.endpointId, this.attemptNumber, 0,
				this.context.now() - this.sentMillis, result, 1));
		this.endpointId = "";
	}

	/**
	 * Records that events of a stream are relayed.
	 */
	void eventsRelayed() {
		this.timings.eventsRelayed(this.context.now());
	}

	void resumed(@Nullable String lastEventId) {
		event(EntryEvent.STREAM_RESUMED).field("last_event", (lastEventId != null) ? lastEventId : "").write();
	}

	void refused(int status, String reason, long retryAfterMillis) {
		endEvent(EntryEvent.REQUEST_REFUSED, status).field("reason", reason)
			.field("retry_after_ms", retryAfterMillis)
			.field("configuration", this.context.configurationTable().version())
			.field("configuration_age_ms", this.context.configurationTable().ageMillis())
			.write();
		countRequest("refused", reason);
		writeRecord("not_run", reason, false);
	}

	/**
	 * Records the failure of a request that may have been executed.
	 * @param status the response status, or zero for an aborted stream
	 * @param reason the reason to report
	 */
	void failed(int status, String reason) {
		endEvent(EntryEvent.REQUEST_FAILED, status).field("reason", reason).write();
		countRequest("failed", reason);
		attemptEnded("failed");
		writeRecord(isRetryable() ? "failed" : "outcome_unknown", reason, false);
	}

	/**
	 * Records how the response that is being relayed has ended.
	 * @param endsWithConnection whether its end is that of the connection
	 * @param restBytes the number of bytes behind its last complete event
	 */
	void responseEnded(boolean endsWithConnection, int restBytes) {
		this.responseEndsWithConnection = endsWithConnection;
		this.responseRestBytes = restBytes;
	}

	/**
	 * Records a relayed response.
	 * @param status the response status
	 * @param firstEventMillis the time to the first event of a stream, negative for
	 * responses that are not streams
	 * @param respondingEndpointId the id of the endpoint
	 */
	void answered(int status, long firstEventMillis, String respondingEndpointId) {
		this.timings.responseCompleted(this.context.now());
		endEvent(EntryEvent.REQUEST_ANSWERED, status).field("first_ms", firstEventMillis)
			.field("endpoint", respondingEndpointId)
			.field("until_close", this.responseEndsWithConnection)
			.field("rest_bytes", this.responseRestBytes)
			.write();
		countRequest("answered", "");
		boolean success = status < FIRST_ERROR_STATUS;
		attemptEnded(success ? "completed" : "failed");
		long latencyMillis = (firstEventMillis >= 0) ? firstEventMillis : ageMillis();
		boolean inTime = success && this.route != null && latencyMillis <= this.route.latencyObjectiveMillis();
		writeRecord(success ? "complete" : "failed", success ? "" : "status_" + status, inTime);
	}

	void cancelled(String state) {
		event(EntryEvent.REQUEST_CANCELLED).field("age_ms", ageMillis()).field("state", state).write();
		countRequest("cancelled", "");
		attemptEnded("cancelled");
		writeRecord((this.sentMillis > 0) ? "failed" : "not_run", "caller_gone", false);
	}

	private boolean isRetryable() {
		return this.route != null && this.route.isRetryable();
	}

	private void writeRecord(String outcome, String reason, boolean inTime) {
		String text = this.request.requestId();
		String id = text.isBlank() ? MISSING_ID : text.substring(0, Math.min(text.length(), RequestId.MAXIMUM_LENGTH));
		long durationMillis = ageMillis();
		this.context.requestRecorder()
			.record(new RequestRecord(new RequestId(id), this.context.gatewayName(),
					(this.workspace != null) ? this.workspace : "", routeName(), routeName(),
					Instant.now().minusMillis(durationMillis), durationMillis, outcome, EntryMetrics.reasonCode(reason),
					reason, inTime, this.attempts));
	}

	private String promptIds() {
		StringJoiner ids = new StringJoiner(",");
		this.request.promptSegments().forEach((segment) -> ids.add(segment.id()));
		return ids.toString();
	}

	private EntryLog.Line endEvent(EntryEvent event, int status) {
		EntryLog.Line line = event(event).field("route", routeName())
			.field("status", status)
			.field("age_ms", ageMillis())
			.field("objective_ms", (this.route != null) ? this.route.latencyObjectiveMillis() : 0);
		this.timings.writeTo(line);
		return line;
	}

	private EntryLog.Line event(EntryEvent event) {
		return this.context.log().event(event).field("id", this.request.requestId());
	}

	private String routeName() {
		return (this.route != null) ? this.route.name() : "";
	}

	private void countRequest(String outcome, String reason) {
		String kind = (this.route != null) ? this.route.kind().name().toLowerCase(Locale.ROOT) : "none";
		this.context.metrics().requestEnded(kind, outcome, reason, ageMillis());
	}

}
