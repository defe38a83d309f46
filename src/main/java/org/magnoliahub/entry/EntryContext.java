package org.magnoliahub.entry;

import java.util.Optional;

import org.magnoliahub.gateway.RequestRecorder;
import org.magnoliahub.serving.BodyMemory;
import org.magnoliahub.serving.EndpointDirectory;
import org.magnoliahub.serving.EndpointSelector;
import org.magnoliahub.serving.GatewayGroup;
import org.magnoliahub.serving.GracefulShutdown;
import org.magnoliahub.serving.ServingConfiguration;
import org.magnoliahub.serving.WindowedRetryBudget;
import org.magnoliahub.time.Timers;

/**
 * The services that all requests of a gateway share.
 *
 * @param timers the timer service
 * @param log the event log
 * @param metrics the metrics
 * @param httpClient the HTTP client for endpoints
 * @param endpointNotices applies the notices of endpoints
 * @param gateways the gateways that send requests to the same endpoints
 * @param directory the endpoint directory
 * @param selector selects endpoints
 * @param retryBudget limits retries
 * @param crashingPrompts keeps requests from engines that they would crash
 * @param configurationTable holds the current configuration
 * @param gracefulShutdown decides which requests are accepted during a graceful shutdown
 * @param responseMemory bounds the answers that are not yet complete
 * @param requestRecorder records ended requests for the daily report
 * @param gatewayName the name of this gateway
 */
record EntryContext(Timers timers, EntryLog log, EntryMetrics metrics, HttpClient httpClient,
		EndpointNoticeHandler endpointNotices, GatewayGroup gateways, EndpointDirectory directory,
		EndpointSelector selector, WindowedRetryBudget retryBudget, CrashingPrompts crashingPrompts,
		ConfigurationTable configurationTable, GracefulShutdown gracefulShutdown, BodyMemory responseMemory,
		RequestRecorder requestRecorder, String gatewayName) {

	long now() {
		return this.timers.milliTime();
	}

	Optional<ServingConfiguration> configuration() {
		return this.configurationTable.current();
	}

}
