package org.magnoliahub.configurationcheck;

import java.util.function.Consumer;

/**
 * The latency objective of a route is not above its timeout.
 */
final class RouteObjectives implements Rule {

	@Override
	public void check(StoredConfiguration configuration, Consumer<Finding> findings) {
		for (RouteEntry route : configuration.routes().value()) {
			Field<Long> objective = route.objectiveMillis();
			Field<Long> timeout = route.timeoutMillis();
			if (objective.present() && objective.value() > timeout.value()) {
				findings.accept(Finding.warning(objective.path(), "expected at most " + timeout.value() + " ms, the "
						+ timeout.name() + " of the route, but it is " + objective.value() + " ms"));
			}
		}
	}

}
