package org.magnoliahub.configurationcheck;

import java.util.List;

/**
 * Tenant of a stored configuration: a workspace with its API keys.
 *
 * @param name unique name
 * @param keys API keys
 * @param allowedRegions regions in which requests may be served
 */
public record TenantEntry(Field<String> name, Field<List<Field<String>>> keys, Field<List<String>> allowedRegions) {
}
