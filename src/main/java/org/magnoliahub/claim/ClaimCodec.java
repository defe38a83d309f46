package org.magnoliahub.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliahub.model.FailureReason;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.RefusalReason;
import org.magnoliahub.model.RequestId;

/**
 * Encodes and decodes claims as JSON text. Unknown fields are ignored, so that a newer
 * version can add fields.
 */
final class ClaimCodec {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private ClaimCodec() {
	}

	static String encode(Claim claim) {
		ObjectNode node = MAPPER.createObjectNode();
		node.put("workspace", claim.workspace());
		node.put("idempotencyKey", claim.idempotencyKey());
		node.put("inputHash", claim.inputHash());
		node.put("ownerToken", claim.ownerToken());
		node.put("requestId", claim.requestId().value());
		node.set("phase", encode(claim.phase()));
		return node.toString();
	}

	/**
	 * Decodes a claim.
	 * @param text value of a claim row
	 * @return the claim
	 * @throws IllegalArgumentException if the text is not a valid claim
	 */
	static Claim decode(String text) {
		try {
			JsonNode node = MAPPER.readTree(text);
			return new Claim(text(node, "workspace"), text(node, "idempotencyKey"), text(node, "inputHash"),
					text(node, "ownerToken"), new RequestId(text(node, "requestId")),
					decodePhase(node.required("phase")));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("claim is not valid JSON", ex);
		}
	}

	private static ObjectNode encode(ClaimPhase phase) {
		ObjectNode node = MAPPER.createObjectNode();
		if (phase instanceof ClaimPhase.Assigned assigned) {
			return node.put("type", "assigned")
				.put("stage", assigned.stage())
				.put("endpoint", assigned.endpoint())
				.put("agentIncarnation", assigned.agentIncarnation())
				.put("attempt", assigned.attempt())
				.put("agentMillisSeen", assigned.agentMillisSeen())
				.put("configurationVersion", assigned.configurationVersion());
		}
		if (phase instanceof ClaimPhase.Finished finished) {
			node.put("type", "finished");
			node.set("outcome", encode(finished.outcome()));
			return node;
		}
		return node.put("type", "open");
	}

	private static ClaimPhase decodePhase(JsonNode node) {
		String type = text(node, "type");
		return switch (type) {
			case "open" -> new ClaimPhase.Open();
			case "assigned" -> new ClaimPhase.Assigned(node.required("stage").intValue(), text(node, "endpoint"),
					node.required("agentIncarnation").longValue(), node.required("attempt").intValue(),
					node.required("agentMillisSeen").longValue(), node.path("configurationVersion").longValue());
			case "finished" -> new ClaimPhase.Finished(decodeOutcome(node.required("outcome")));
			default -> throw new IllegalArgumentException("unknown claim phase " + type);
		};
	}

	private static ObjectNode encode(Outcome outcome) {
		ObjectNode node = MAPPER.createObjectNode();
		if (outcome instanceof Outcome.Complete complete) {
			return node.put("type", "complete").put("answer", complete.answer());
		}
		if (outcome instanceof Outcome.NotRun notRun) {
			return node.put("type", "not_run")
				.put("reason", notRun.reason().name())
				.put("detail", notRun.detail())
				.put("retryAfterMillis", notRun.retryAfter().toMillis());
		}
		if (outcome instanceof Outcome.Failed failed) {
			node.put("type", "failed").put("reason", failed.reason().name()).put("detail", failed.detail());
			ArrayNode stages = node.putArray("stagesRun");
			failed.stagesRun().forEach(stages::add);
			return node;
		}
		Outcome.Unknown unknown = (Outcome.Unknown) outcome;
		return node.put("type", "outcome_unknown").put("stage", unknown.stage()).put("detail", unknown.detail());
	}

	private static Outcome decodeOutcome(JsonNode node) {
		String type = text(node, "type");
		return switch (type) {
			case "complete" -> new Outcome.Complete(text(node, "answer"));
			case "not_run" -> new Outcome.NotRun(RefusalReason.valueOf(text(node, "reason")), text(node, "detail"),
					Duration.ofMillis(node.required("retryAfterMillis").longValue()));
			case "failed" -> {
				List<String> stages = new ArrayList<>();
				node.required("stagesRun").forEach((stage) -> stages.add(stage.textValue()));
				yield new Outcome.Failed(stages, FailureReason.valueOf(text(node, "reason")), text(node, "detail"));
			}
			case "outcome_unknown" -> new Outcome.Unknown(text(node, "stage"), text(node, "detail"));
			default -> throw new IllegalArgumentException("unknown outcome type " + type);
		};
	}

	private static String text(JsonNode node, String field) {
		JsonNode value = node.required(field);
		if (!value.isTextual()) {
			throw new IllegalArgumentException("field " + field + " of a claim must be a string");
		}
		return value.textValue();
	}

}
