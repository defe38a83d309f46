package org.magnoliahub.configurationcheck;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Names of routes, of services and of tenants are unique. Of two services with the same
 * name, gateways use the last one.
 */
final class UniqueNames implements Rule {

	@Override
	public void check(StoredConfiguration configuration, Consumer<Finding> findings) {
		check(configuration.routes().value(), RouteEntry::name, findings);
		check(configuration.services().value(), ServiceEntry::name, findings);
		check(configuration.tenants().value(), TenantEntry::name, findings);
	}

	private static <T> void check(List<T> entries, Function<T, Field<String>> nameOf, Consumer<Finding> findings) {
		Map<String, JsonPath> paths = new HashMap<>();
		for (T entry : entries) {
			Field<String> name = nameOf.apply(entry);
			JsonPath other = name.present() ? paths.putIfAbsent(name.value(), name.path()) : null;
			if (other != null) {
				findings.accept(Finding.error(name.path(),
						"expected a unique name, but " + Finding.quote(name.value()) + " is also at " + other));
			}
		}
	}

}
