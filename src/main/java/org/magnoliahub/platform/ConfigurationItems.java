package org.magnoliahub.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliahub.configurationcheck.ConfigurationItem;
import org.magnoliahub.configurationcheck.JsonPath;

/**
 * Splits a stored configuration into the entries that are compared between versions.
 */
final class ConfigurationItems {

	private static final String TENANT = "tenant";

	private static final String LIMITS = "limits";

	private static final String NAME = "name";

	/** Other fields, also unknown ones, may hold API keys. */
	private static final Set<String> SHOWN_TENANT_FIELDS = Set.of(NAME, "allowed_regions");

	private final List<ConfigurationItem> items = new ArrayList<>();

	private ConfigurationItems() {
	}

	static List<ConfigurationItem> of(JsonNode root) {
		ConfigurationItems items = new ConfigurationItems();
		items.addAll("route", root.path("routes"), JsonPath.ROOT.field("routes"));
		items.addAll("service", root.path("services"), JsonPath.ROOT.field("services"));
		items.addAll(TENANT, root.path("tenants"), JsonPath.ROOT.field("tenants"));
		if (root.path(LIMITS).isObject()) {
			items.add(LIMITS, "", root.path(LIMITS), JsonPath.ROOT.field(LIMITS));
		}
		return items.items;
	}

	private void addAll(String kind, JsonNode list, JsonPath path) {
		for (int index = 0; list.isArray() && index < list.size(); index++) {
			JsonNode entry = list.get(index);
			add(kind, entry.path(NAME).asText(), entry, path.element(index));
		}
	}

	private void add(String kind, String name, JsonNode entry, JsonPath path) {
		SortedMap<String, String> fields = new TreeMap<>();
		Map<String, Set<String>> secrets = new HashMap<>();
		entry.fields().forEachRemaining((field) -> {
			if (kind.equals(TENANT) && !SHOWN_TENANT_FIELDS.contains(field.getKey())) {
				secrets.put(field.getKey(), secrets(field.getValue()));
			}
			else {
				collect(field.getKey(), field.getValue(), fields);
			}
		});
		this.items.add(new ConfigurationItem(kind, name, path, fields, secrets));
	}

	private static Set<String> secrets(JsonNode value) {
		if (value.isContainerNode() && value.isEmpty()) {
			return Set.of();
		}
		SortedMap<String, String> values = new TreeMap<>();
		collect("", value, values);
		return Set.copyOf(values.values());
	}

	// Empty lists and objects are values of their own, so that adding one is seen.
	private static void collect(String path, JsonNode value, SortedMap<String, String> fields) {
		if (value.isObject() && !value.isEmpty()) {
			value.fields().forEachRemaining((field) -> collect(path + "." + field.getKey(), field.getValue(), fields));
		}
		else if (value.isArray() && !value.isEmpty()) {
			for (int index = 0; index < value.size(); index++) {
				collect(path + "[" + index + "]", value.get(index), fields);
			}
		}
		else {
			fields.put(path, value.isValueNode() ? value.asText() : value.toString());
		}
	}

}
