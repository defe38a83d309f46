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
 * @param httpClient sends requests
 * @param endpointNotices heeds what endpoints say of further work
 * @param directory the endpoints
 * @param selector chooses endpoints
 * @param retryBudget limits repeats
 * @param currentConfiguration the configuration in force
 * @param stopPlan what is still taken during a planned stop
 * @param requestRecorder takes what the daily report counts
 * @param gatewayName name of this gateway
 */
record EntryContext(Timers timers, EntryLog log, EntryMetrics metrics, HttpClient httpClient,
		EndpointNoticeHandler endpointNotices, EndpointDirectory directory, EndpointSelector selector,
		WindowedRetryBudget retryBudget, Supplier<Optional<ServingConfiguration>> currentConfiguration,
		GracefulShutdown stopPlan, RequestRecorder requestRecorder, String gatewayName) {

	long now() {
		return this.timers.milliTime();
	}

	Optional<ServingConfiguration> configuration() {
		return this.currentConfiguration.get();
	}

}
