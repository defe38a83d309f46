package org.magnoliahub.entry;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.placement.AllowedZones;
import org.magnoliahub.serving.EndpointDirectory;

/**
 * Reasons to report when a request ends without a response from an endpoint.
 */
final class RefusalReason {

	/** The stages cannot run in time. */
	static final String NO_CAPACITY = "no_capacity";

	/** Results of stages were lost again. */
	static final String INPUTS_GONE = "inputs_gone";

	/** All endpoints of the service have requested a pause. */
	static final String PAUSED = "endpoints_paused";

	/** Endpoints end under a part of the prompt. */
	static final String PROMPT_BLOCKED = "prompt_crashes_endpoints";

	/** All endpoints of the service are in zones that the operator evacuates. */
	private static final String EVACUATED = "evacuated";

	/** No home of the request has an endpoint of the service. */
	private static final String NO_HOME_ENDPOINT = "no_home_endpoint";

	private static final String NO_ENDPOINT = "no_endpoint";

	/** Retry-After for failures that may be limited to one endpoint. */
	static final long RETRY_AFTER_MILLIS = 300;

	/** Retry-After when stage capacity is exceeded, about the duration of a burst. */
	private static final long CAPACITY_RETRY_AFTER_MILLIS = 2_500;

	/**
	 * Retry-After while no permitted zone has an endpoint, which the operator must
	 * change. A reopened zone is in use within about the same time.
	 */
	private static final long PLACEMENT_RETRY_AFTER_MILLIS = 2_500;

	private RefusalReason() {
	}

	/**
	 * Returns why no endpoint of a service accepts a request.
	 * @param directory the endpoints
	 * @param service the service
	 * @param zones zones in which the request may be served
	 * @param now monotonic time, in milliseconds
	 * @return the reason to report
	 */
	static String withoutEndpoint(EndpointDirectory directory, String service, AllowedZones zones, long now) {
		if (directory.pausedMillis(service, zones, now) > 0) {
			return PAUSED;
		}
		String reason = ofPlacement(directory, service, zones, now);
		return (reason != null) ? reason : NO_ENDPOINT;
	}

	/**
	 * Returns why a request must not be sent to any endpoint of a service.
	 * @param directory the endpoints
	 * @param service the service
	 * @param zones zones in which the request may be served
	 * @param now monotonic time, in milliseconds
	 * @return the reason to report, or {@code null} if it may be sent to one, or the
	 * service has none at all
	 */
	static @Nullable String ofPlacement(EndpointDirectory directory, String service, AllowedZones zones, long now) {
		if (directory.isEvacuated(service, zones, now)) {
			return EVACUATED;
		}
		return (zones.isRestricted() && !directory.hasEndpoint(service, zones, now)) ? NO_HOME_ENDPOINT : null;
	}

	/**
	 * Returns the least time after which a caller may try again.
	 * @param reason the reason of the refusal
	 * @return milliseconds
	 */
	static long minimumRetryAfterMillis(String reason) {
		return switch (reason) {
			case NO_CAPACITY -> CAPACITY_RETRY_AFTER_MILLIS;
			case EVACUATED, NO_HOME_ENDPOINT -> PLACEMENT_RETRY_AFTER_MILLIS;
			default -> RETRY_AFTER_MILLIS;
		};
	}

}
