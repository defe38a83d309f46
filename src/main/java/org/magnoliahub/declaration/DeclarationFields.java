package org.magnoliahub.declaration;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliahub.configuration.ItemKind;
import org.magnoliahub.model.Configuration;

/**
 * Fields of one item under the names that declarations use, for showing differences.
 */
public final class DeclarationFields {

	private DeclarationFields() {
	}

	/**
	 * Lists the fields of an item.
	 * @param configuration the configuration
	 * @param kind the item's kind
	 * @param name the item's name
	 * @return values by path, for example {@code stages[0].pool}; empty if there is no
	 * such item
	 */
	public static Map<String, String> of(Configuration configuration, ItemKind kind, String name) {
		Map<String, String> fields = new TreeMap<>();
		JsonNode tree = DeclarationWriter.tree(configuration, kind, name);
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
