package org.magnoliahub.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

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

	private static final double MILLIS_PER_SECOND = 1_000;

	/** A year, so that sums of times do not overflow. */
	static final long MAXIMUM_MILLIS = 31_536_000_000L;

	/** A terabyte, so that the size of a full batch does not overflow. */
	static final long MAXIMUM_RESULT_BYTES = 1_000_000_000_000L;

	/** Maximum lifetime of a request if the route states none, in milliseconds. */
	static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

	private static final int MAXIMUM_SHOWN_CHARACTERS = 100;

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
		JsonNode version = root.path("version");
		if (!version.isIntegralNumber() || !version.canConvertToLong() || version.asLong() < 0
				|| !root.path("routes").isArray()) {
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
		return ServingConfiguration.of(version.asLong(), routes, services, limits(root.path("limits")),
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
		long timeout = millis(node.path("timeout_ms"), DEFAULT_TIMEOUT_MILLIS);
		return new Route(name, node.path("host").asText(), node.path("prefix").asText(), kind(name, node.path("kind")),
				timeout, millis(node.path("target_latency_ms"), timeout), integer(node.path("priority"), 0), shares,
				Math.max(1, integer(node.path("max_attempts"), 1)), stages,
				node.path("allow_anonymous").asBoolean(false), node.path("resume_streams").asBoolean(false),
				millis(node.path("gap_target_ms"), 0), regions("route", name, node.path("allowed_regions")));
	}

	// A restriction that cannot be read must not be dropped, so the whole configuration
	// is rejected.
	private static Set<String> regions(String owner, String name, JsonNode regions) throws PlatformFormatException {
		if (regions.isMissingNode() || regions.isNull()) {
			return Set.of();
		}
		boolean valid = regions.isArray();
		Set<String> names = new HashSet<>();
		for (JsonNode region : regions) {
			valid &= region.isTextual();
			names.add(region.asText());
		}
		if (!valid) {
			throw new PlatformFormatException(
					owner + " " + shown(name) + " has allowed_regions that are no list of names");
		}
		return names;
	}

	private static CallKind kind(String route, JsonNode kind) throws PlatformFormatException {
		return switch (kind.asText()) {
			case "idempotent" -> CallKind.IDEMPOTENT;
			case "non_idempotent" -> CallKind.NON_IDEMPOTENT;
			case "streaming" -> CallKind.STREAMING;
			default -> throw new PlatformFormatException(
					"route " + shown(route) + " is of the unknown kind " + shown(kind.asText()));
		};
	}

	private static String shown(String text) {
		return text.substring(0, Math.min(MAXIMUM_SHOWN_CHARACTERS, text.length()));
	}

	// Numbers out of range become the nearest possible one instead of being cut to any
	// other one.
	private static int integer(JsonNode node, int fallback) {
		if (!node.isNumber() || node.canConvertToInt()) {
			return Math.max(0, node.asInt(fallback));
		}
		return (node.asDouble() > 0) ? Integer.MAX_VALUE : 0;
	}

	private static long millis(JsonNode node, long fallback) {
		return whole(node, fallback, MAXIMUM_MILLIS);
	}

	private static long whole(JsonNode node, long fallback, long maximum) {
		if (!node.isNumber() || node.canConvertToLong()) {
			return Math.min(maximum, Math.max(0, node.asLong(fallback)));
		}
		return (node.asDouble() > 0) ? maximum : 0;
	}

	private static RouteStage stage(JsonNode node) {
		List<Integer> inputs = new ArrayList<>();
		for (JsonNode input : node.path("after")) {
			inputs.add(integer(input, 0));
		}
		return new RouteStage(node.path("service").asText(), inputs,
				whole(node.path("size_bytes"), 0, MAXIMUM_RESULT_BYTES));
	}

	private static ServiceDefinition service(JsonNode node) {
		return new ServiceDefinition(node.path("name").asText(), node.path("health_path").asText("/"),
				pool(node.path("pieces")), node.has("engine"), millisOfSeconds(node.path("cold_s")),
				rate(node.path("cold_per_s")));
	}

	private static long millisOfSeconds(JsonNode node) {
		return (long) Math.min(MAXIMUM_MILLIS, MILLIS_PER_SECOND * rate(node));
	}

	// A value that is not a positive number sets no limit.
	private static double rate(JsonNode node) {
		return (node.isNumber() && Double.isFinite(node.asDouble())) ? Math.max(0, node.asDouble()) : 0;
	}

	static @Nullable StageLimits pool(JsonNode node) {
		if (!node.isObject()) {
			return null;
		}
		// "headroom_mb" is the whole room for results at one endpoint, not a reserve.
		long room = (long) (node.path("headroom_mb").asDouble(1) * BYTES_PER_MEGABYTE);
		return new StageLimits(Math.max(1, integer(node.path("slots"), 1)), Math.max(1, integer(node.path("batch"), 1)),
				node.path("call_ms").asDouble(100), node.path("item_ms").asDouble(1), room,
				(long) (1_000 * node.path("handle_s").asDouble(1)));
	}

	private static CallerLimits limits(JsonNode node) {
		CallerLimits fallback = CallerLimits.DEFAULT;
		return new CallerLimits(integer(node.path("max_header_bytes"), fallback.maximumHeaderBytes()),
				integer(node.path("max_body_bytes"), fallback.maximumBodyBytes()),
				millis(node.path("header_timeout_ms"), fallback.headerTimeoutMillis()),
				millis(node.path("idle_timeout_ms"), fallback.idleTimeoutMillis()));
	}

	private static Map<String, WorkspaceKey> keys(JsonNode tenants) throws PlatformFormatException {
		Map<String, WorkspaceKey> keys = new HashMap<>();
		for (JsonNode tenant : tenants) {
			String name = tenant.path("name").asText();
			WorkspaceKey workspace = new WorkspaceKey(name, regions("tenant", name, tenant.path("allowed_regions")));
			for (JsonNode key : tenant.path("api_keys")) {
				keys.put(key.asText(), workspace);
			}
		}
		return keys;
	}

}
