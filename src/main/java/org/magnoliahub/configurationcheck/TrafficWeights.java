package org.magnoliahub.configurationcheck;

import java.util.List;
import java.util.function.Consumer;

import org.magnoliahub.configurationcheck.RouteEntry.ShareEntry;

/**
 * Weights of a route's services have a positive sum. Otherwise gateways send all requests
 * to the last service.
 */
final class TrafficWeights implements Rule {

	@Override
	public void check(StoredConfiguration configuration, Consumer<Finding> findings) {
		for (RouteEntry route : configuration.routes().value()) {
			List<ShareEntry> shares = route.shares().value();
			double sum = shares.stream().mapToDouble(ShareEntry::weight).sum();
			if (!shares.isEmpty() && sum <= 0) {
				findings.accept(Finding.error(route.shares().path(),
						"expected weights with a positive sum, but it is 0; all requests go to the last service"));
			}
		}
	}

}
