package org.magnoliahub.configurationcheck;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Each tenant has API keys, and no two tenants have the same one. Messages contain places
 * of keys, not the keys.
 */
final class TenantKeys implements Rule {

	@Override
	public void check(StoredConfiguration configuration, Consumer<Finding> findings) {
		Field<List<TenantEntry>> tenants = configuration.tenants();
		if (tenants.present() && tenants.value().isEmpty()) {
			findings.accept(Finding.warning(tenants.path(),
					"there is no tenant, so that only routes without API keys accept requests"));
		}
		Map<String, Owner> owners = new HashMap<>();
		for (TenantEntry tenant : tenants.value()) {
			if (tenant.keys().value().isEmpty()) {
				findings.accept(Finding.warning(tenant.keys().path(), "the tenant has no key and cannot be matched"));
			}
			tenant.keys()
				.value()
				.stream()
				.filter(Field::present)
				.forEach((key) -> check(tenant, key, owners, findings));
		}
	}

	private static void check(TenantEntry tenant, Field<String> key, Map<String, Owner> owners,
			Consumer<Finding> findings) {
		Owner other = owners.putIfAbsent(key.value(), new Owner(tenant, key.path()));
		if (other != null) {
			findings.accept(repeated(tenant, key, other));
		}
	}

	private static Finding repeated(TenantEntry tenant, Field<String> key, Owner other) {
		if (tenant == other.tenant()) {
			return Finding.warning(key.path(), "the key is repeated; it is also at " + other.path());
		}
		return Finding.error(key.path(), "the key belongs to two tenants; it is also at " + other.path() + " of tenant "
				+ Finding.quote(other.tenant().name().value()) + ", and its requests count for the last of them");
	}

	private record Owner(TenantEntry tenant, JsonPath path) {
	}

}
