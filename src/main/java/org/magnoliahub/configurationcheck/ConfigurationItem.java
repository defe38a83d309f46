package org.magnoliahub.configurationcheck;

import java.util.Map;
import java.util.Set;
import java.util.SortedMap;

/**
 * Entry of a stored configuration in the form in which two versions are compared.
 *
 * @param kind kind of the entry, for example {@code route}
 * @param name name of the entry, empty if there is only one of its kind
 * @param path place of the entry
 * @param fields values by path within the entry, without secrets
 * @param secrets by path within the entry, values that may be compared but not shown
 */
public record ConfigurationItem(String kind, String name, JsonPath path, SortedMap<String, String> fields,
		Map<String, Set<String>> secrets) {

	/**
	 * Returns the kind and the name.
	 * @return a text that identifies the entry in its configuration
	 */
	public String label() {
		return this.name.isEmpty() ? this.kind : this.kind + " " + this.name;
	}

}
