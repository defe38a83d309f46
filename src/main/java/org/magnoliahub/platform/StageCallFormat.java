package org.magnoliahub.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliahub.serving.PieceFailure;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.StageJob;
import org.magnoliahub.serving.StageTask;

/**
 * Calls of stage endpoints.
 */
public final class StageCallFormat {

	/** Path of the call that works on pieces. */
	public static final String RUN_PATH = "/api/stage-run";

	/** Path of the call that gives results up. */
	public static final String FREE_PATH = "/api/stage-free";

	/** Handles are an address and a short id; endpoints bound the size of a head. */
	private static final int MAXIMUM_HANDLE_CHARACTERS = 1_024;

	/**
	 * Writes a call.
	 * @param tasks its pieces
	 * @param now monotonic time, in milliseconds
	 * @return the body
	 */
	public byte[] run(List<StageTask> tasks, long now) {
		return JsonTree.write((json) -> {
			json.writeStartObject();
			json.writeArrayFieldStart("items");
			for (StageTask task : tasks) {
				item(json, task, now);
			}
			json.writeEndArray();
			json.writeEndObject();
		});
	}

	private static void item(JsonGenerator json, StageTask task, long now) throws IOException {
		StageJob work = task.job();
		json.writeStartObject();
		json.writeStringField("id", work.requestId());
		json.writeNumberField("stage", work.stage());
		json.writeNumberField("piece", task.piece());
		json.writeNumberField("remaining_ms", Math.max(1, work.expiresAt() - now));
		if (work.inputs().isEmpty() && work.pieceKey() != null) {
			json.writeStringField("key", work.pieceKey());
		}
		else {
			json.writeArrayFieldStart("inputs");
			for (String input : work.inputs()) {
				json.writeString(input);
			}
			json.writeEndArray();
		}
		json.writeEndObject();
	}

	/**
	 * Reads the answer of a call.
	 * @param body the body
	 * @param count number of pieces of the call
	 * @param availabilityZone zone of the endpoint
	 * @return a result for each piece
	 * @throws PlatformFormatException if the body is not an answer to such a call
	 */
	public List<PieceResult> results(byte[] body, int count, String availabilityZone) throws PlatformFormatException {
		JsonNode items;
		try {
			items = JsonTree.read(body).path("items");
		}
		catch (IOException ex) {
			throw new PlatformFormatException("the answer of a stage call is not JSON", ex);
		}
		if (!items.isArray() || items.size() != count) {
			throw new PlatformFormatException("expected " + count + " items, but came " + items.size());
		}
		List<PieceResult> results = new ArrayList<>();
		for (JsonNode item : items) {
			results.add(result(item, availabilityZone));
		}
		return results;
	}

	private static PieceResult result(JsonNode item, String availabilityZone) {
		if (isHandle(item.path("handle"))) {
			return new PieceResult(item.path("handle").asText(), availabilityZone, null);
		}
		return PieceResult.failed(switch (item.path("reason").asText()) {
			case "late" -> PieceFailure.LATE;
			case "gone" -> PieceFailure.INPUT_GONE;
			case "room" -> PieceFailure.NO_ROOM;
			default -> PieceFailure.FAILED;
		});
	}

	// Handles are sent on in a header, separated by commas.
	private static boolean isHandle(JsonNode node) {
		if (!node.isTextual() || node.asText().length() > MAXIMUM_HANDLE_CHARACTERS) {
			return false;
		}
		return HeaderText.isVisible(node.asText()) && node.asText().indexOf(',') < 0;
	}

	/**
	 * Writes the call that gives results up.
	 * @param handles their handles
	 * @return the body
	 */
	public byte[] free(List<String> handles) {
		return JsonTree.write((json) -> {
			json.writeStartObject();
			json.writeArrayFieldStart("handles");
			for (String handle : handles) {
				json.writeString(handle);
			}
			json.writeEndArray();
			json.writeEndObject();
		});
	}

	/**
	 * Returns the address of the endpoint that holds a result.
	 * @param handle handle of the result
	 * @return host and port
	 */
	public static String address(String handle) {
		int slash = handle.indexOf('/');
		return (slash < 0) ? handle : handle.substring(0, slash);
	}

}
