package org.magnoliahub.entry;

import java.util.List;
import java.util.Locale;

/**
 * Types of log events, with their fields. Events about refusals and failures have a
 * higher rate limit than events about successes.
 */
enum EntryEvent {

	/** The process has started to listen. */
	STARTED(Importance.HIGH, "node", "zone", "millis"),

	/** The process began its graceful shutdown. */
	STOPPING(Importance.HIGH, "open_requests", "connections"),

	/** The process exits. */
	STOPPED(Importance.HIGH, "open_requests", "cut_streams", "connections"),

	/** The process cannot listen on one of its addresses. */
	LISTEN_FAILED(Importance.HIGH, "reason"),

	/** The settings file was reloaded. */
	SETTINGS_RELOADED(Importance.HIGH, "outcome"),

	/** The gateway uses a new configuration. */
	CONFIGURATION_ADOPTED(Importance.HIGH, "version", "previous", "era", "source"),

	/** A stored configuration was rejected. */
	CONFIGURATION_REJECTED(Importance.HIGH, "reason"),

	/**
	 * The evacuation of a zone began or ended, or a restored store lacks its row for now.
	 */
	ZONE_EVACUATION(Importance.HIGH, "zone", "state"),

	/** The connection to a table of the store was lost or regained. */
	STORE_CONTACT(Importance.HIGH, "table", "outcome", "reason"),

	/** A row of a table of the store cannot be read and counts as absent. */
	ROW_REJECTED(Importance.HIGH, "table", "key", "revision", "reason"),

	/** The rows of a table could not be applied; the table is read again. */
	TABLE_FAILED(Importance.HIGH, "table", "reason"),

	/** A timer task ended with an unexpected exception. */
	TASK_FAILED(Importance.HIGH, "reason"),

	/** An endpoint is draining or gone, or a record of it is outdated and ignored. */
	ENDPOINT_CHANGED(Importance.HIGH, "endpoint", "service", "state", "revision"),

	/**
	 * An endpoint has ended during requests of this gateway: its connections broke, and
	 * it refuses new ones.
	 */
	ENDPOINT_ENDED(Importance.HIGH, "endpoint", "service", "requests"),

	/** A part of prompts under which endpoints end was blocked or released. */
	PROMPT_BLOCK(Importance.HIGH, "part_hash", "state"),

	/** A request is not sent because of a blocked part, or is sent to try it again. */
	PROMPT_REFUSED(Importance.HIGH, "id", "part", "part_hash", "outcome"),

	/** A response stated that its endpoint is draining or requests a pause. */
	ENDPOINT_NOTICE(Importance.HIGH, "endpoint", "service", "state", "pause_ms"),

	/** A pause requested by an endpoint is malformed and ignored. */
	PAUSE_REJECTED(Importance.HIGH, "endpoint", "value"),

	/** An endpoint stated, changed or ended the request rate that it accepts. */
	ENDPOINT_RATE(Importance.HIGH, "endpoint", "service", "per_second", "rank", "gateways"),

	/** An endpoint stated a request rate that is not a positive decimal number. */
	RATE_REJECTED(Importance.HIGH, "endpoint", "value"),

	/**
	 * An endpoint began or ceased to state the slowdown of its machine. Balanced load is
	 * in use for its service while at least one endpoint states it.
	 */
	BALANCED_LOAD(Importance.HIGH, "endpoint", "service", "state", "slowdown_percent"),

	/** An endpoint is cold; this gateway limits its requests to it. */
	ENDPOINT_COLD(Importance.HIGH, "endpoint", "service", "cause", "cold_ms", "interval_ms"),

	/** The store stated an era that is malformed or earlier than a previous one. */
	STORE_ERA_REJECTED(Importance.HIGH, "reason"),

	/** The store stated a new era: it was restored from an older backup. */
	STORE_ERA_CHANGED(Importance.HIGH, "previous", "era"),

	/** All tables were reloaded after a new era. */
	STORE_RESTORED(Importance.HIGH, "previous", "era", "revision_before", "revision", "endpoints_listed",
			"endpoints_outdated", "endpoints_kept", "endpoints_dropped", "members_kept", "members_left", "own_row",
			"configuration_listed", "configuration", "records_again"),

	/** Another gateway was discovered or lost. */
	MEMBER_CHANGED(Importance.HIGH, "member", "state"),

	/** The link to another gateway changed. */
	LINK_CHANGED(Importance.HIGH, "member", "state", "reason"),

	/**
	 * A gateway that submits pieces to this one closed its connection; its pieces are
	 * cancelled.
	 */
	SUBMITTER_GONE(Importance.HIGH, "member", "connection", "pieces"),

	/** A request of a caller was malformed. */
	REQUEST_MALFORMED(Importance.HIGH, "status"),

	/** A request was admitted. */
	REQUEST_ADMITTED(Importance.LOW, "id", "route", "workspace", "budget_ms", "pieces", "configuration"),

	/** The admission of the stages of a request was decided. */
	STAGES_DECIDED(Importance.LOW, "id", "wait_ms", "chain_ms", "least_ms", "objective_ms", "patience_ms", "rank",
			"outcome"),

	/** A request was refused; it was not executed. */
	REQUEST_REFUSED(Importance.HIGH, "id", "route", "status", "reason", "age_ms", "retry_after_ms", "objective_ms",
			"queue_ms", "call_ms", "hand_ms", "lost_ms", "engine_ms", "pause_ms", "configuration",
			"configuration_age_ms"),

	/** A request was sent to an endpoint. */
	REQUEST_SENT(Importance.LOW, "id", "endpoint", "attempt", "age_ms", "expected_ms", "doubtful", "list_age_ms"),

	/** An attempt ended without a response that can be relayed. */
	ATTEMPT_FAILED(Importance.HIGH, "id", "endpoint", "attempt", "age_ms", "reason", "may_have_run", "next", "prompt"),

	/** A stream is resumed at another endpoint. */
	STREAM_RESUMED(Importance.HIGH, "id", "last_event"),

	/** The response to a request was relayed. */
	REQUEST_ANSWERED(Importance.LOW, "id", "route", "status", "age_ms", "first_ms", "endpoint", "until_close",
			"rest_bytes", "objective_ms", "queue_ms", "call_ms", "hand_ms", "lost_ms", "engine_ms", "pause_ms"),

	/** A request failed that may have been executed. */
	REQUEST_FAILED(Importance.HIGH, "id", "route", "status", "reason", "age_ms", "objective_ms", "queue_ms", "call_ms",
			"hand_ms", "lost_ms", "engine_ms", "pause_ms"),

	/** An unexpected exception was raised while a request or a connection was handled. */
	INTERNAL_ERROR(Importance.HIGH, "id", "error", "at"),

	/** A caller closed its connection before the response ended. */
	REQUEST_CANCELLED(Importance.HIGH, "id", "age_ms", "state"),

	/** Pieces of a stage were submitted. */
	STAGE_SUBMITTED(Importance.LOW, "id", "stage", "service", "pieces", "owner", "age_ms"),

	/** A stage batch was sent. */
	STAGE_CALL_SENT(Importance.LOW, "service", "endpoint", "pieces", "waiting", "expected_ms", "room_bytes",
			"stored_ms"),

	/** A stage batch failed. */
	STAGE_CALL_FAILED(Importance.HIGH, "service", "endpoint", "pieces", "reason", "age_ms"),

	/** Pieces of a batch for which the endpoint had no result capacity. */
	STAGE_CAPACITY_MISSING(Importance.HIGH, "service", "endpoint", "pieces", "missing", "room_bytes"),

	/** A stage of a request failed. */
	STAGE_FAILED(Importance.HIGH, "id", "stage", "reason", "age_ms"),

	/** A graceful shutdown could not write the records of the last requests. */
	RECORDS_LOST(Importance.HIGH, "reason"),

	/** Lines of an event type were omitted because of its rate limit. */
	LOG_LIMITED(Importance.HIGH, "kind", "omitted");

	private final Importance importance;

	private final List<String> fields;

	EntryEvent(Importance importance, String... fields) {
		this.importance = importance;
		this.fields = List.of(fields);
	}

	/**
	 * Returns the name of the event in log lines.
	 * @return the name in lower case
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns the names of the fields.
	 * @return the fields in documentation order
	 */
	List<String> fields() {
		return this.fields;
	}

	/**
	 * Returns the rate limit of the event.
	 * @return the maximum number of lines per second
	 */
	int linesPerSecond() {
		return this.importance.linesPerSecond;
	}

	private enum Importance {

		HIGH(200), LOW(60);

		private final int linesPerSecond;

		Importance(int linesPerSecond) {
			this.linesPerSecond = linesPerSecond;
		}

	}

}
