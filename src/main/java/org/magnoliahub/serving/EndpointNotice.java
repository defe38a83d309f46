package org.magnoliahub.serving;

import org.jspecify.annotations.Nullable;

/**
 * Signals on further work in the head of an endpoint's response.
 *
 * @param draining whether the endpoint drains and accepts no new work
 * @param pauseMillis time for which this gateway must send no further work, in
 * milliseconds; zero if the endpoint requests no pause
 * @param invalidPause value of a pause header that could not be parsed, or {@code null}
 * @param requestsPerSecond rate of requests that the endpoint accepts from all gateways
 * together; zero if it states none
 * @param invalidRate value of a rate header that could not be parsed, or {@code null}
 */
public record EndpointNotice(boolean draining, long pauseMillis, @Nullable String invalidPause,
		double requestsPerSecond, @Nullable String invalidRate) {

	/** Response without signals. */
	public static final EndpointNotice NONE = new EndpointNotice(false, 0, null, 0, null);

}
