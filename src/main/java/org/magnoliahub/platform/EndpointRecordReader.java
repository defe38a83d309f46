package org.magnoliahub.platform;

import java.io.IOException;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliahub.serving.EndpointRecord;

/**
 * Reads what endpoints write into the store. Other writers may have left an entry there;
 * such an entry names no endpoint.
 */
public final class EndpointRecordReader {

	private static final String DRAINING = "draining";

	/** Bounds the effect of a wrong value; servers are cold for seconds. */
	private static final long MAXIMUM_COLD_MILLIS = 600_000;

	private static final Set<String> STATES = Set.of("ready", DRAINING);

	/**
	 * Reads an entry.
	 * @param id key of the entry
	 * @param stored its bytes
	 * @return the endpoint, or empty if the entry does not describe one
	 */
	public Optional<EndpointRecord> read(String id, byte[] stored) {
		JsonNode root;
		try {
			root = JsonTree.read(stored);
		}
		catch (IOException ex) {
			return Optional.empty();
		}
		if (!HeaderText.isVisible(id) || !isEndpoint(root)) {
			return Optional.empty();
		}
		return Optional.of(new EndpointRecord(id, root.path("service").asText(), root.path("address").asText(),
				root.path("zone").asText(), root.path("slots").asInt(), root.path("state").asText().equals(DRAINING),
				root.path("born").asLong(0), root.path("seq").asLong(), coldMillis(root.path("cold_left_ms"))));
	}

	// Another value does not exclude the endpoint, because older servers write none.
	private static long coldMillis(JsonNode node) {
		return isCount(node) ? Math.min(MAXIMUM_COLD_MILLIS, node.asLong()) : 0;
	}

	private static boolean isEndpoint(JsonNode root) {
		return isText(root, "service") && isText(root, "zone") && isText(root, "state") && isText(root, "address")
				&& STATES.contains(root.path("state").asText()) && isAddress(root.path("address").asText())
				&& root.path("slots").isInt() && root.path("slots").asInt() > 0 && isCount(root.path("seq"))
				&& (root.path("born").isMissingNode() || isCount(root.path("born")));
	}

	// A number beyond a long would be cut to any other one.
	private static boolean isCount(JsonNode node) {
		return node.isIntegralNumber() && node.canConvertToLong() && node.asLong() >= 0;
	}

	private static boolean isText(JsonNode root, String field) {
		return root.path(field).isTextual() && !root.path(field).asText().isBlank();
	}

	private static boolean isAddress(String text) {
		try {
			return HostPort.parse(text).getPort() > 0;
		}
		catch (PlatformFormatException ex) {
			return false;
		}
	}

}
