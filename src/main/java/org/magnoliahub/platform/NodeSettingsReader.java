package org.magnoliahub.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.coldstart.ColdBounds;

/**
 * Reads the settings file of a process, which is JSON. All faults of a file are reported
 * at once; fields that are not known are ignored.
 */
public final class NodeSettingsReader {

	/** Environment variable that holds the path of the file. */
	public static final String PATH_VARIABLE = "MAGNOLIAHUB_CONFIG";

	private final List<String> faults = new ArrayList<>();

	private NodeSettingsReader() {
	}

	/**
	 * Reads the file that the environment names.
	 * @param environment environment variables
	 * @return the settings
	 * @throws PlatformFormatException if the variable or the file is missing, or the file
	 * has faults
	 */
	public static NodeSettings read(Map<String, String> environment) throws PlatformFormatException {
		return parse(text(environment));
	}

	/**
	 * Reads the text of the file that the environment names.
	 * @param environment environment variables
	 * @return the text
	 * @throws PlatformFormatException if the variable or the file is missing
	 */
	public static String text(Map<String, String> environment) throws PlatformFormatException {
		String path = environment.get(PATH_VARIABLE);
		if (path == null || path.isBlank()) {
			throw new PlatformFormatException("the environment variable " + PATH_VARIABLE + " is not set");
		}
		try {
			return Files.readString(Path.of(path));
		}
		catch (IOException ex) {
			throw new PlatformFormatException("the settings file " + path + " cannot be read: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Reads settings from a text.
	 * @param text content of a settings file
	 * @return the settings
	 * @throws PlatformFormatException if the text has faults; its message names all
	 */
	public static NodeSettings parse(String text) throws PlatformFormatException {
		JsonNode root;
		try {
			root = JsonTree.read(text.getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new PlatformFormatException("the settings are not JSON: " + ex.getMessage(), ex);
		}
		NodeSettingsReader reader = new NodeSettingsReader();
		NodeSettings settings = reader.settings(root);
		if (settings == null || !reader.faults.isEmpty()) {
			throw new PlatformFormatException("invalid settings: " + String.join("; ", reader.faults));
		}
		return settings;
	}

	private @Nullable NodeSettings settings(JsonNode root) {
		String name = text(root, "node_name");
		String ip = text(root, "ip");
		String zone = text(root, "zone");
		JsonNode listen = root.path("listen");
		InetSocketAddress callers = optionalAddress(listen, "front");
		InetSocketAddress readiness = optionalAddress(listen, "ready_address");
		JsonNode ports = root.path("internal_ports");
		int first = port(ports.path(0), "internal_ports[0]");
		int last = ports.path(1).isInt() ? ports.path(1).asInt() : first;
		int memory = root.path("limits").path("memory_mb").asInt(0);
		int descriptors = Math.max(0, root.path("limits").path("max_fds").asInt(0));
		NodeSettings.Bounds bounds = bounds(root.path("bounds"));
		InetSocketAddress store = address(root.path("platform_settings").path("address"), "platform_settings.address");
		if (store == null) {
			return null;
		}
		return new NodeSettings(name, ip, zone, callers, readiness, first, last, memory, descriptors, bounds, store,
				regions(root.path("zones")));
	}

	// A zone without a readable region belongs to none, which allows it for fewer
	// requests.
	private static Map<String, String> regions(JsonNode zones) {
		Map<String, String> regions = new HashMap<>();
		zones.fields().forEachRemaining((zone) -> {
			if (zone.getValue().isTextual()) {
				regions.put(zone.getKey(), zone.getValue().asText());
			}
		});
		return regions;
	}

	private NodeSettings.Bounds bounds(JsonNode node) {
		long contact = (long) number(node, "contact_ms");
		long drain = (long) number(node, "drain_ms");
		long configuration = (long) number(node, "config_apply_ms");
		long grace = (long) (1_000 * number(node, "grace_s"));
		double ratio = number(node, "retry_budget_ratio");
		double constant = number(node, "retry_budget_extra");
		long window = (long) (1_000 * number(node, "budget_window_s"));
		long evacuation = node.has("evacuate_ms") ? (long) number(node, "evacuate_ms") : 0;
		return new NodeSettings.Bounds(contact, drain, configuration, grace, ratio, constant, window, evacuation,
				cold(node, contact));
	}

	// One bound alone states no limit.
	private @Nullable ColdBounds cold(JsonNode node, long contactMillis) {
		if (!node.has("cold_overage") || !node.has("cold_slack")) {
			return null;
		}
		return new ColdBounds(number(node, "cold_overage"), number(node, "cold_slack"), contactMillis);
	}

	private String text(JsonNode parent, String field) {
		JsonNode value = parent.path(field);
		if (!value.isTextual() || value.asText().isBlank()) {
			this.faults.add(field + " must be a text that is not blank, but was " + shown(value));
			return "";
		}
		return value.asText();
	}

	private double number(JsonNode parent, String field) {
		JsonNode value = parent.path(field);
		if (!value.isNumber() || value.asDouble() < 0) {
			this.faults.add("bounds." + field + " must be a number of at least 0, but was " + shown(value));
			return 0;
		}
		return value.asDouble();
	}

	private int port(JsonNode value, String field) {
		if (!value.isInt() || value.asInt() < 1 || value.asInt() > 65_535) {
			this.faults.add(field + " must be a port from 1 to 65535, but was " + shown(value));
			return 0;
		}
		return value.asInt();
	}

	private @Nullable InetSocketAddress optionalAddress(JsonNode parent, String field) {
		JsonNode value = parent.path(field);
		if (value.isMissingNode() || value.isNull()) {
			return null;
		}
		return address(value, "listen." + field);
	}

	private @Nullable InetSocketAddress address(JsonNode value, String field) {
		try {
			return HostPort.parse(value.asText());
		}
		catch (PlatformFormatException ex) {
			this.faults.add(field + ": " + ex.getMessage());
			return null;
		}
	}

	private static String shown(JsonNode value) {
		return value.isMissingNode() ? "missing" : value.toString();
	}

}
