package org.magnoliahub.configurationcheck;

import java.util.List;

/**
 * A stored configuration that was read for a check.
 *
 * @param configuration its entries
 * @param formFindings findings about types, ranges and names of fields
 * @param items its entries in the form in which versions are compared
 */
public record ConfigurationDocument(StoredConfiguration configuration, List<Finding> formFindings,
		List<ConfigurationItem> items) {

	/**
	 * Creates a document with immutable copies of the lists.
	 */
	public ConfigurationDocument {
		formFindings = List.copyOf(formFindings);
		items = List.copyOf(items);
	}

}
