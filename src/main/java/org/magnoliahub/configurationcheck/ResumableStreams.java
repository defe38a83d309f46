package org.magnoliahub.configurationcheck;

import java.util.function.Consumer;

/**
 * Routes whose interrupted streams are resumed have streams and more than one attempt.
 */
final class ResumableStreams implements Rule {

	@Override
	public void check(StoredConfiguration configuration, Consumer<Finding> findings) {
		for (RouteEntry route : configuration.routes().value()) {
			if (!route.resumable().value()) {
				continue;
			}
			Field<Long> attempts = route.maximumEndpoints();
			if (attempts.value() <= 1) {
				findings.accept(Finding.warning(route.resumable().path(), "has no effect, because " + attempts.name()
						+ " is " + attempts.value() + "; an interrupted stream is resumed by a second attempt"));
			}
			if (!route.streaming()) {
				findings.accept(Finding.warning(route.resumable().path(),
						"has no effect, because responses of the route are not streams"));
			}
		}
	}

}
