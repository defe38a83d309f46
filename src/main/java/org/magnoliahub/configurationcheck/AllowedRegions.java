package org.magnoliahub.configurationcheck;

import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * The allowed regions of a route and of a tenant have a region in common. Otherwise the
 * tenant's requests to the route have no server.
 */
final class AllowedRegions implements Rule {

	/** Limits the length of a message. */
	private static final int MAXIMUM_NAMES = 5;

	@Override
	public void check(StoredConfiguration configuration, Consumer<Finding> findings) {
		configuration.routes().value().forEach((route) -> checkNotEmpty(route.allowedRegions(), findings));
		configuration.tenants().value().forEach((tenant) -> checkNotEmpty(tenant.allowedRegions(), findings));
		for (RouteEntry route : configuration.routes().value()) {
			List<String> excluded = excludedTenants(route, configuration.tenants().value());
			if (!excluded.isEmpty()) {
				findings.accept(Finding.warning(route.allowedRegions().path(),
						"has no region in common with the allowed regions of " + describe(excluded)
								+ "; their requests to the route are refused"));
			}
		}
	}

	private static void checkNotEmpty(Field<List<String>> regions, Consumer<Finding> findings) {
		if (regions.present() && regions.value().isEmpty()) {
			findings.accept(Finding.warning(regions.path(),
					"expected at least one region, but the list is empty; omit the field to allow all regions"));
		}
	}

	private static List<String> excludedTenants(RouteEntry route, List<TenantEntry> tenants) {
		List<String> regions = route.allowedRegions().value();
		return tenants.stream()
			.filter((tenant) -> !regions.isEmpty() && !tenant.allowedRegions().value().isEmpty())
			.filter((tenant) -> Collections.disjoint(regions, tenant.allowedRegions().value()))
			.map((tenant) -> Finding.quote(tenant.name().value()))
			.toList();
	}

	private static String describe(List<String> names) {
		String listed = names.stream().limit(MAXIMUM_NAMES).collect(Collectors.joining(", "));
		int more = names.size() - MAXIMUM_NAMES;
		return ((names.size() == 1) ? "tenant " : "tenants ") + listed + ((more > 0) ? " and " + more + " more" : "");
	}

}
