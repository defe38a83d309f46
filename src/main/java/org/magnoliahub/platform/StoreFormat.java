package org.magnoliahub.platform;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * Calls of the platform's store.
 */
public final class StoreFormat {

	/** Table that holds the operator's configuration. */
	public static final String CONFIGURATION_TABLE = "op";

	/** Key of the configuration in its table. */
	public static final String CONFIGURATION_KEY = "config";

	private static final String EVACUATION_PREFIX = "evacuate/";

	/** Table in which endpoints list themselves. */
	public static final String ENDPOINT_TABLE = "servers";

	/** Table in which gateways list themselves. */
	public static final String MEMBER_TABLE = "gateways";

	/** Table in which gateways state under which parts of prompts endpoints ended. */
	public static final String PROMPT_EVIDENCE_TABLE = "prompt-evidence";

	/** Path of the call that changes rows. */
	public static final String WRITE_PATH = "/api/rows-tx";

	/** Status of a feed whose history is no longer there. */
	public static final int HISTORY_GONE = 410;

	private static final String FEED_START = "/api/rows-feed?table=";

	private static final byte[] NO_VALUE = new byte[0];

	private static final List<String> CHANGES = List.of("writes", "remove");

	/**
	 * Returns the target of a call that reads rows.
	 * @param table the table
	 * @param from first key, empty for all
	 * @return path and query
	 */
	public String readTarget(String table, String from) {
		String target = "/api/rows-get?table=" + table + "&part=&limit=500";
		return from.isEmpty() ? target : target + "&from=" + URLEncoder.encode(from, StandardCharsets.UTF_8);
	}

	/**
	 * Returns the target of a call that reads changes.
	 * @param table the table
	 * @param after revision after which changes are wanted
	 * @param waitMillis how long the store may wait for a change
	 * @return path and query
	 */
	public String feedTarget(String table, long after, long waitMillis) {
		return FEED_START + table + "&after=" + after + "&wait_ms=" + waitMillis;
	}

	/**
	 * Returns which feed a call reads.
	 * @param target path and query of the call
	 * @return the same text for each call that reads the changes of a table, empty for
	 * other calls
	 */
	public static String feed(String target) {
		return target.startsWith(FEED_START) ? target.substring(0, target.indexOf('&')) : "";
	}

	/**
	 * Returns whether a row of the operator's table requests the evacuation of a zone,
	 * whatever its value is.
	 * @param key key of the row
	 * @return whether {@link #evacuatedZone} can be called with the key
	 */
	public static boolean isEvacuation(String key) {
		return key.startsWith(EVACUATION_PREFIX);
	}

	/**
	 * Returns the zone that a row evacuates.
	 * @param key key of the row
	 * @return name of the zone, empty if the key has none
	 */
	public static String evacuatedZone(String key) {
		return key.substring(EVACUATION_PREFIX.length());
	}

	/**
	 * Returns the key of the row that evacuates a zone.
	 * @param zone name of the zone
	 * @return the key
	 */
	public static String evacuationKey(String zone) {
		return EVACUATION_PREFIX + zone;
	}

	/**
	 * Reads rows or changes. A row whose value cannot be read has an empty one, and a row
	 * without a key is skipped, so that it does not lose the others.
	 * @param body body of the answer
	 * @return the rows
	 * @throws PlatformFormatException if the body is not such an answer
	 */
	public StoredRows rows(byte[] body) throws PlatformFormatException {
		try {
			JsonNode root = JsonTree.read(body);
			List<StoredRow> rows = new ArrayList<>();
			if (!isRevision(root.path("ver"))) {
				throw new PlatformFormatException("the answer of the store lacks its revision");
			}
			if (!root.path("rows").isArray() && !root.path("rows").isMissingNode()) {
				throw new PlatformFormatException("the answer of the store has no list of rows");
			}
			for (JsonNode row : root.path("rows")) {
				if (row.path("key").isTextual() && !row.path("key").asText().isEmpty()) {
					rows.add(row(row));
				}
			}
			return new StoredRows(rows, root.path("ver").asLong(), root.path("has_more").asBoolean(false));
		}
		catch (IOException ex) {
			throw new PlatformFormatException("the answer of the store cannot be read: " + ex.getMessage(), ex);
		}
	}

	private static StoredRow row(JsonNode row) {
		String key = row.path("key").asText();
		boolean removed = row.path("tombstone").asBoolean(false);
		if (!isRevision(row.path("ver"))) {
			return new StoredRow(key, NO_VALUE, 0, removed);
		}
		return new StoredRow(key, removed ? NO_VALUE : value(row.path("value")), row.path("ver").asLong(), removed);
	}

	private static byte[] value(JsonNode value) {
		try {
			return value.isTextual() ? Base64.getDecoder().decode(value.asText()) : NO_VALUE;
		}
		catch (IllegalArgumentException ex) {
			return NO_VALUE;
		}
	}

	private static boolean isRevision(JsonNode node) {
		return node.isIntegralNumber() && node.canConvertToLong();
	}

	/**
	 * Writes the call that sets a row.
	 * @param table the table
	 * @param key key of the row
	 * @param value its bytes
	 * @return the body
	 */
	public byte[] put(String table, String key, byte[] value) {
		return transaction("writes", (json) -> {
			writeKey(json, table, key);
			json.writeStringField("value", Base64.getEncoder().encodeToString(value));
		}, null);
	}

	/**
	 * Writes the call that removes a row if it is still the same.
	 * @param table the table
	 * @param key key of the row
	 * @param revision revision that the row must have
	 * @return the body
	 */
	public byte[] remove(String table, String key, long revision) {
		return transaction("remove", (json) -> writeKey(json, table, key), (json) -> {
			writeKey(json, table, key);
			json.writeNumberField("ver", revision);
		});
	}

	private static byte[] transaction(String change, JsonTree.Content row, JsonTree.@Nullable Content expected) {
		return JsonTree.write((json) -> {
			json.writeStartObject();
			writeRows(json, "expected", expected);
			for (String list : CHANGES) {
				writeRows(json, list, list.equals(change) ? row : null);
			}
			json.writeEndObject();
		});
	}

	private static void writeRows(JsonGenerator json, String list, JsonTree.@Nullable Content row) throws IOException {
		json.writeArrayFieldStart(list);
		if (row != null) {
			json.writeStartObject();
			row.write(json);
			json.writeEndObject();
		}
		json.writeEndArray();
	}

	private static void writeKey(JsonGenerator json, String table, String key) throws IOException {
		json.writeStringField("table", table);
		json.writeStringField("part", "");
		json.writeStringField("key", key);
	}

}
