package org.magnoliahub.entry;

import java.util.Locale;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.CallerRequest;
import org.magnoliahub.serving.EndpointChoice;
import org.magnoliahub.serving.Route;

/**
 * Log lines and metrics of one request.
 */
final class RequestJournal {

	private final EntryContext context;

	private final CallerRequest request;

	private final long arrivedMillis;

	private @Nullable Route route;

	RequestJournal(EntryContext context, CallerRequest request, long arrivedMillis) {
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

	void admitted(@Nullable String workspace, long budgetMillis, long configurationVersion) {
		line(EntryEvent.REQUEST_ADMITTED).field("route", routeName())
			.field("workspace", (workspace != null) ? workspace : "")
			.field("budget_ms", budgetMillis)
			.field("pieces", this.request.pieces().toString())
			.field("configuration", configurationVersion)
			.write();
	}

	void queued(long waitMillis, long chainMillis, int queued) {
		line(EntryEvent.REQUEST_QUEUED).field("wait_ms", waitMillis)
			.field("chain_ms", chainMillis)
			.field("queued", queued)
			.write();
	}

	void sent(EndpointChoice choice, int attempt) {
		line(EntryEvent.REQUEST_SENT).field("endpoint", choice.endpoint().record().id())
			.field("attempt", attempt)
			.field("age_ms", age())
			.field("expected_ms", choice.expectedMillis())
			.field("doubtful", choice.isDoubtful())
			.field("list_age_ms", this.context.directory().age(this.context.now()))
			.write();
	}

	void attemptFailed(String endpoint, int attempt, String reason, boolean mayHaveRun, String next) {
		line(EntryEvent.ATTEMPT_FAILED).field("endpoint", endpoint)
			.field("attempt", attempt)
			.field("age_ms", age())
			.field("reason", reason)
			.field("may_have_run", mayHaveRun)
			.field("next", next)
			.write();
		this.context.metrics().attemptFailed(mayHaveRun, next);
	}

	void resumed(@Nullable String lastEventId) {
		line(EntryEvent.STREAM_RESUMED).field("last_event", (lastEventId != null) ? lastEventId : "").write();
	}

	void refused(int status, String reason, long retryAfterMillis) {
		line(EntryEvent.REQUEST_REFUSED).field("route", routeName())
			.field("status", status)
			.field("reason", reason)
			.field("age_ms", age())
			.field("retry_after_ms", retryAfterMillis)
			.write();
		count("refused", reason);
	}

	/**
	 * Notes a request that ended after it may have run.
	 * @param status the status, or zero for a stream that was broken off
	 * @param reason what happened
	 */
	void failed(int status, String reason) {
		line(EntryEvent.REQUEST_FAILED).field("route", routeName())
			.field("status", status)
			.field("reason", reason)
			.field("age_ms", age())
			.write();
		count("failed", reason);
	}

	void answered(int status, long firstMillis, String endpoint) {
		line(EntryEvent.REQUEST_ANSWERED).field("status", status)
			.field("age_ms", age())
			.field("first_ms", firstMillis)
			.field("endpoint", endpoint)
			.write();
		count("answered", "");
	}

	void cancelled(String state) {
		line(EntryEvent.REQUEST_CANCELLED).field("age_ms", age()).field("state", state).write();
		count("cancelled", "");
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
