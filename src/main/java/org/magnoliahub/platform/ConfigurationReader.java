package org.magnoliahub.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.CallKind;
import org.magnoliahub.serving.CallerLimits;
import org.magnoliahub.serving.Route;
import org.magnoliahub.serving.RouteStage;
import org.magnoliahub.serving.ServiceDefinition;
import org.magnoliahub.serving.ServiceShare;
import org.magnoliahub.serving.ServingConfiguration;
import org.magnoliahub.serving.StageLimits;
import org.magnoliahub.serving.WorkspaceKey;

/**
 * Reads the operator's configuration from its stored form.
 */
public final class ConfigurationReader {

	private static final double BYTES_PER_MEGABYTE = 1e6;

	/**
	 * Reads a configuration.
	 * @param stored the bytes that lie in the store
	 * @return the configuration
	 * @throws PlatformFormatException if the bytes are not a configuration
	 */
	public ServingConfiguration read(byte[] stored) throws PlatformFormatException {
		JsonNode root;
		try {
			root = JsonTree.read(stored);
		}
		catch (IOException ex) {
			throw new PlatformFormatException("the configuration is not JSON: " + ex.getMessage(), ex);
		}
		if (!root.path("version").isIntegralNumber() || !root.path("routes").isArray()) {
			throw new PlatformFormatException("the configuration lacks its version or its routes");
		}
		List<Route> routes = new ArrayList<>();
		for (JsonNode route : root.path("routes")) {
			routes.add(route(route));
		}
		List<ServiceDefinition> services = new ArrayList<>();
		for (JsonNode service : root.path("services")) {
			services.add(service(service));
		}
		return ServingConfiguration.of(root.path("version").asLong(), routes, services, limits(root.path("limits")),
				root.path("tenants").isArray(), keys(root.path("tenants")));
	}

	private static Route route(JsonNode node) throws PlatformFormatException {
		String name = node.path("name").asText();
		List<ServiceShare> shares = new ArrayList<>();
		for (JsonNode share : node.path("traffic_split")) {
			shares.add(new ServiceShare(share.path("service").asText(), share.path("weight").asDouble(1)));
		}
		if (shares.isEmpty()) {
			shares.add(new ServiceShare(node.path("service").asText(), 1));
		}
		List<RouteStage> stages = new ArrayList<>();
		for (JsonNode stage : node.path("stages")) {
			stages.add(stage(stage));
		}
		long timeout = node.path("timeout_ms").asLong(30_000);
		return new Route(name, node.path("host").asText(), node.path("prefix").asText(), kind(name, node.path("kind")),
				timeout, node.path("target_latency_ms").asLong(timeout), node.path("priority").asInt(0), shares,
				Math.max(1, node.path("max_attempts").asInt(1)), stages, node.path("allow_anonymous").asBoolean(false),
				node.path("resume_streams").asBoolean(false), node.path("gap_target_ms").asLong(0));
	}

	private static CallKind kind(String route, JsonNode kind) throws PlatformFormatException {
		return switch (kind.asText()) {
			case "idempotent" -> CallKind.IDEMPOTENT;
			case "non_idempotent" -> CallKind.NON_IDEMPOTENT;
			case "streaming" -> CallKind.STREAMING;
			default -> throw new PlatformFormatException("route " + route + " is of the unknown kind " + kind);
		};
	}

	private static RouteStage stage(JsonNode node) {
		List<Integer> inputs = new ArrayList<>();
		for (JsonNode input : node.path("after")) {
			inputs.add(input.asInt());
		}
		return new RouteStage(node.path("service").asText(), inputs, node.path("size_bytes").asLong(0));
	}

	private static ServiceDefinition service(JsonNode node) {
		return new ServiceDefinition(node.path("name").asText(), node.path("health_path").asText("/"),
				pool(node.path("pieces")), node.has("engine"));
	}

	private static @Nullable StageLimits pool(JsonNode node) {
		if (!node.isObject()) {
			return null;
		}
		// "headroom_mb" is the whole room for results at one endpoint, not a reserve.
		long room = (long) (node.path("headroom_mb").asDouble(1) * BYTES_PER_MEGABYTE);
		return new StageLimits(Math.max(1, node.path("slots").asInt(1)), Math.max(1, node.path("batch").asInt(1)),
				node.path("call_ms").asDouble(100), node.path("item_ms").asDouble(1), room,
				(long) (1_000 * node.path("handle_s").asDouble(1)));
	}

	private static CallerLimits limits(JsonNode node) {
		CallerLimits fallback = CallerLimits.DEFAULT;
		return new CallerLimits(node.path("max_header_bytes").asInt(fallback.maximumHeaderBytes()),
				node.path("max_body_bytes").asInt(fallback.maximumBodyBytes()),
				node.path("header_timeout_ms").asLong(fallback.headerTimeoutMillis()),
				node.path("idle_timeout_ms").asLong(fallback.idleTimeoutMillis()));
	}

	private static Map<String, WorkspaceKey> keys(JsonNode tenants) {
		Map<String, WorkspaceKey> keys = new HashMap<>();
		for (JsonNode tenant : tenants) {
			WorkspaceKey workspace = new WorkspaceKey(tenant.path("name").asText());
			for (JsonNode key : tenant.path("api_keys")) {
				keys.put(key.asText(), workspace);
			}
		}
		return keys;
	}

}
