package org.magnoliahub.declaration;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliahub.configuration.ItemKind;
import org.magnoliahub.model.Configuration;

/**
 * Flattens a configuration item into field paths and values, so that two versions of the
 * item can be compared field by field. Field names are those of the declaration files.
 */
public final class DeclarationFields {

	private DeclarationFields() {
	}

	/**
	 * Returns the fields of an item.
	 * @param configuration the configuration that contains the item
	 * @param kind the item's kind
	 * @param name the item's name
	 * @return the values by field path, for example {@code stages[0].pool}, sorted by
	 * path; empty if the item does not exist
	 */
	public static Map<String, String> of(Configuration configuration, ItemKind kind, String name) {
		Map<String, String> fields = new TreeMap<>();
		JsonNode tree = DeclarationWriter.toTree(configuration, kind, name);
		flatten("", tree, fields);
		return fields;
	}

	private static void flatten(String path, JsonNode node, Map<String, String> fields) {
		if (node.isObject()) {
			node.properties()
				.forEach((entry) -> flatten(path.isEmpty() ? entry.getKey() : path + "." + entry.getKey(),
						entry.getValue(), fields));
		}
		else if (node.isArray()) {
			for (int index = 0; index < node.size(); index++) {
				flatten(path + "[" + index + "]", node.get(index), fields);
			}
		}
		else if (!node.isMissingNode()) {
			fields.put(path, node.asText());
		}
	}

}
