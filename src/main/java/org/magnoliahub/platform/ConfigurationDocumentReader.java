package org.magnoliahub.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliahub.configurationcheck.ConfigurationDocument;
import org.magnoliahub.configurationcheck.Field;
import org.magnoliahub.configurationcheck.Finding;
import org.magnoliahub.configurationcheck.JsonPath;
import org.magnoliahub.configurationcheck.RouteEntry;
import org.magnoliahub.configurationcheck.RouteEntry.ShareEntry;
import org.magnoliahub.configurationcheck.RouteEntry.StageEntry;
import org.magnoliahub.configurationcheck.ServiceEntry;
import org.magnoliahub.configurationcheck.Severity;
import org.magnoliahub.configurationcheck.StoredConfiguration;
import org.magnoliahub.configurationcheck.TenantEntry;
import org.magnoliahub.serving.StageLimits;

/**
 * Reads a stored configuration for a check. Unlike {@link ConfigurationReader}, which
 * gateways use, it keeps the places of all entries and reports whatever gateways would
 * ignore or replace.
 */
public final class ConfigurationDocumentReader {

	private static final String STREAMING = "streaming";

	private static final List<String> KINDS = List.of("idempotent", "non_idempotent", STREAMING);

	private final List<Finding> findings = new ArrayList<>();

	private ConfigurationDocumentReader() {
	}

	/**
	 * Reads a configuration.
	 * @param stored the bytes of the configuration
	 * @return the configuration, as far as it can be understood
	 * @throws PlatformFormatException if the bytes are not a JSON object
	 */
	public static ConfigurationDocument read(byte[] stored) throws PlatformFormatException {
		ConfigurationDocumentReader reader = new ConfigurationDocumentReader();
		JsonNode root = reader.parse(stored);
		if (!root.isObject()) {
			throw new PlatformFormatException("the configuration is not a JSON object");
		}
		StoredConfiguration configuration = reader.configuration(root);
		reader.reportRejection(stored);
		return new ConfigurationDocument(configuration, reader.findings, ConfigurationItems.of(root));
	}

	private JsonNode parse(byte[] stored) throws PlatformFormatException {
		try {
			JsonNode root = JsonTree.read(stored);
			RepeatedFields.check(stored, this.findings::add);
			return root;
		}
		catch (IOException ex) {
			throw new PlatformFormatException("the configuration is not JSON: " + ex.getMessage(), ex);
		}
	}

	// Covers whatever gateways reject and the reading of single fields does not report.
	private void reportRejection(byte[] stored) {
		if (this.findings.stream().anyMatch((finding) -> finding.severity() == Severity.ERROR)) {
			return;
		}
		try {
			new ConfigurationReader().read(stored);
		}
		catch (PlatformFormatException | RuntimeException ex) {
			this.findings.add(Finding.error(JsonPath.ROOT, "gateways reject the configuration: " + ex.getMessage()));
		}
	}

	private StoredConfiguration configuration(JsonNode root) {
		ObjectFields fields = fields(root, JsonPath.ROOT);
		Field<Long> version = fields.requiredWhole("version", 0, Long.MAX_VALUE);
		fields.require("routes", "a list");
		Field<List<RouteEntry>> routes = fields.list("routes", this::route);
		Field<List<ServiceEntry>> services = fields.list("services", this::service);
		Field<List<TenantEntry>> tenants = fields.list("tenants", this::tenant);
		limits(fields.object("limits"));
		fields.reportUnknown();
		return new StoredConfiguration(version, routes, services, tenants);
	}

	private ObjectFields fields(JsonNode node, JsonPath path) {
		return ObjectFields.of(node, path, this.findings::add);
	}

	private RouteEntry route(JsonNode node, JsonPath path) {
		ObjectFields fields = fields(node, path);
		Field<Long> timeout = millis(fields, "timeout_ms", ConfigurationReader.DEFAULT_TIMEOUT_MILLIS);
		RouteEntry route = new RouteEntry(fields.requiredText("name"), fields.requiredText("host"),
				fields.requiredText("prefix"), isStreaming(fields), timeout,
				millis(fields, "target_latency_ms", timeout.value()),
				fields.whole("max_attempts", 1, Integer.MAX_VALUE, 1), fields.flag("resume_streams"), shares(fields),
				fields.list("stages", this::stage), fields.texts("allowed_regions"));
		fields.whole("priority", 0, Integer.MAX_VALUE, 0);
		fields.whole("gap_target_ms", 0, ConfigurationReader.MAXIMUM_MILLIS, 0);
		fields.flag("allow_anonymous");
		// Belongs to the format, but gateways do not read it.
		fields.flag("sticky");
		fields.reportUnknown();
		return route;
	}

	private static Field<Long> millis(ObjectFields fields, String field, long fallback) {
		return fields.whole(field, 1, ConfigurationReader.MAXIMUM_MILLIS, fallback);
	}

	private static boolean isStreaming(ObjectFields fields) {
		Field<String> kind = fields.requiredText("kind");
		if (kind.present() && !KINDS.contains(kind.value())) {
			fields.report("kind", "expected one of " + String.join(", ", KINDS) + ", but it is "
					+ Finding.quote(kind.value()) + "; gateways reject the configuration");
		}
		return kind.value().equals(STREAMING);
	}

	private Field<List<ShareEntry>> shares(ObjectFields fields) {
		Field<List<ShareEntry>> shares = fields.list("traffic_split", this::share);
		if (!shares.value().isEmpty()) {
			fields.find("service");
			return shares;
		}
		return new Field<>(shares.path(), false, List.of(new ShareEntry(fields.requiredText("service"), 1)));
	}

	private ShareEntry share(JsonNode node, JsonPath path) {
		ObjectFields fields = fields(node, path);
		ShareEntry share = new ShareEntry(fields.requiredText("service"), fields.decimal("weight", 1).value());
		fields.reportUnknown();
		return share;
	}

	private StageEntry stage(JsonNode node, JsonPath path) {
		ObjectFields fields = fields(node, path);
		StageEntry stage = new StageEntry(fields.requiredText("service"), fields.indexes("after").value());
		fields.whole("size_bytes", 0, ConfigurationReader.MAXIMUM_RESULT_BYTES, 0);
		fields.reportUnknown();
		return stage;
	}

	private ServiceEntry service(JsonNode node, JsonPath path) {
		ObjectFields fields = fields(node, path);
		Field<String> name = fields.requiredText("name");
		fields.text("health_path");
		readConnectionFields(fields);
		// Gateways read only whether it is present.
		fields.find("engine");
		checkPieces(fields.object("pieces"));
		StageLimits limits = ConfigurationReader.pool(fields.find("pieces"));
		ServiceEntry service = new ServiceEntry(name, limits, fields.decimal("cold_s", 0),
				fields.decimal("cold_per_s", 0));
		fields.reportUnknown();
		return service;
	}

	// Belong to the format, but gateways do not read them.
	private static void readConnectionFields(ObjectFields fields) {
		fields.whole("max_connections", 1, Integer.MAX_VALUE, 1);
		fields.text("protocol");
		fields.flag("tls");
	}

	private static void checkPieces(ObjectFields fields) {
		fields.whole("slots", 1, Integer.MAX_VALUE, 1);
		fields.whole("batch", 1, Integer.MAX_VALUE, 1);
		fields.whole("queue", 0, Integer.MAX_VALUE, 0);
		fields.decimal("call_ms", 0);
		fields.decimal("item_ms", 0);
		fields.decimal("headroom_mb", 0);
		fields.decimal("handle_s", 0);
		// Belongs to the format, but gateways do not read it.
		fields.decimal("link_mbps", 0);
		fields.reportUnknown();
	}

	private TenantEntry tenant(JsonNode node, JsonPath path) {
		ObjectFields fields = fields(node, path);
		TenantEntry tenant = new TenantEntry(fields.requiredText("name"), fields.textFields("api_keys"),
				fields.texts("allowed_regions"));
		fields.whole("priority", 0, Integer.MAX_VALUE, 0);
		fields.reportUnknown();
		return tenant;
	}

	private static void limits(ObjectFields fields) {
		fields.whole("max_header_bytes", 1, Integer.MAX_VALUE, 1);
		fields.whole("max_body_bytes", 0, Integer.MAX_VALUE, 0);
		fields.whole("header_timeout_ms", 1, ConfigurationReader.MAXIMUM_MILLIS, 1);
		fields.whole("idle_timeout_ms", 1, ConfigurationReader.MAXIMUM_MILLIS, 1);
		fields.reportUnknown();
	}

}
