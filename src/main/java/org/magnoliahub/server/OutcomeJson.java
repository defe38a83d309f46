package org.magnoliahub.server;

import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliahub.model.FailureReason;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.RefusalReason;

/**
 * Form of outcomes in answers to callers.
 */
final class OutcomeJson {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private OutcomeJson() {
	}

	/**
	 * Renders an outcome.
	 * @param requestId id of the request, empty text if unknown
	 * @param outcome the outcome
	 * @return the JSON text
	 */
	static String render(String requestId, Outcome outcome) {
		ObjectNode json = MAPPER.createObjectNode();
		if (!requestId.isEmpty()) {
			json.put("requestId", requestId);
		}
		json.put("outcome", outcome.label());
		if (outcome instanceof Outcome.Complete complete) {
			json.put("answer", complete.answer());
		}
		else if (outcome instanceof Outcome.NotRun notRun) {
			json.put("reason", notRun.reason().name().toLowerCase(Locale.ROOT));
			json.put("detail", notRun.detail());
			json.put("retryAfterMillis", notRun.retryAfter().toMillis());
		}
		else if (outcome instanceof Outcome.Failed failed) {
			json.put("reason", failed.reason().name().toLowerCase(Locale.ROOT));
			json.put("detail", failed.detail());
			failed.stagesRun().forEach(json.putArray("stagesRun")::add);
		}
		else if (outcome instanceof Outcome.Unknown unknown) {
			json.put("stage", unknown.stage());
			json.put("detail", unknown.detail());
		}
		return json.toString();
	}

	/**
	 * Renders part of a streamed answer.
	 * @param content the part
	 * @return the JSON text
	 */
	static String renderPart(String content) {
		return MAPPER.createObjectNode().put("content", content).toString();
	}

	/**
	 * Returns the HTTP status of an outcome.
	 * @param outcome the outcome
	 * @return the status code
	 */
	static int statusOf(Outcome outcome) {
		if (outcome instanceof Outcome.NotRun notRun) {
			return statusOf(notRun.reason());
		}
		if (outcome instanceof Outcome.Failed failed) {
			return (failed.reason() == FailureReason.DEADLINE_EXCEEDED) ? 504 : 502;
		}
		return (outcome instanceof Outcome.Complete) ? 200 : 500;
	}

	private static int statusOf(RefusalReason reason) {
		return switch (reason) {
			case INVALID_REQUEST, IDEMPOTENCY_KEY_REQUIRED -> 400;
			case IDEMPOTENCY_KEY_REUSED -> 409;
			case LIMIT_REACHED -> 429;
			default -> 503;
		};
	}

}
