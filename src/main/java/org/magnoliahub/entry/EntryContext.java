package org.magnoliahub.entry;

import java.util.Optional;
import java.util.function.Supplier;

import org.magnoliahub.gateway.RequestRecorder;
import org.magnoliahub.serving.EndpointDirectory;
import org.magnoliahub.serving.EndpointSelector;
import org.magnoliahub.serving.GracefulShutdown;
import org.magnoliahub.serving.ServingConfiguration;
import org.magnoliahub.serving.WindowedRetryBudget;
import org.magnoliahub.time.Timers;

/**
 * What the requests of a gateway share.
 *
 * @param timers the timer service
 * @param log the event log
 * @param metrics the metrics
 * @param http sends requests
 * @param notices heeds what endpoints say of further work
 * @param directory the endpoints
 * @param selector chooses endpoints
 * @param budget limits repeats
 * @param currentConfiguration the configuration in force
 * @param stopPlan what is still taken during a planned stop
 * @param records takes what the daily report counts
 * @param gateway name of this gateway
 */
record EntryContext(Timers timers, EntryLog log, EntryMetrics metrics, HttpClient http, EndpointNotices notices,
		EndpointDirectory directory, EndpointSelector selector, WindowedRetryBudget budget,
		Supplier<Optional<ServingConfiguration>> currentConfiguration, GracefulShutdown stopPlan,
		RequestRecorder records, String gateway) {

	long now() {
		return this.timers.milliTime();
	}

	Optional<ServingConfiguration> configuration() {
		return this.currentConfiguration.get();
	}

}
