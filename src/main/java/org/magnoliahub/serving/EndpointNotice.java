package org.magnoliahub.serving;

import org.jspecify.annotations.Nullable;

/**
 * Draining and pause signals in the head of an endpoint's response.
 *
 * @param draining whether the endpoint drains and accepts no new work
 * @param pauseMillis time for which this gateway must send no further work, in
 * milliseconds; zero if the endpoint requests no pause
 * @param invalidPause value of a pause header that could not be parsed, or {@code null}
 */
public record EndpointNotice(boolean draining, long pauseMillis, @Nullable String invalidPause) {

	/** Response without draining or pause signals. */
	public static final EndpointNotice NONE = new EndpointNotice(false, 0, null);

}
