package org.magnoliahub.configurationcheck;

import java.util.List;

/**
 * Entries of a stored configuration with their places.
 *
 * @param version version number
 * @param routes all routes, in the order in which they are stored
 * @param services all services
 * @param tenants all tenants
 */
public record StoredConfiguration(Field<Long> version, Field<List<RouteEntry>> routes,
		Field<List<ServiceEntry>> services, Field<List<TenantEntry>> tenants) {
}
