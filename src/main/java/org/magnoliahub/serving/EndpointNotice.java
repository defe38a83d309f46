package org.magnoliahub.serving;

import org.jspecify.annotations.Nullable;

/**
 * What an endpoint's answer says of the work that it takes from now on.
 *
 * @param draining whether the endpoint leaves and takes no new work
 * @param pauseMillis time for which it wants nothing from this gateway, in milliseconds,
 * zero if it does not ask for a pause
 * @param invalidPause a stated pause that cannot be read, or {@code null}
 */
public record EndpointNotice(boolean draining, long pauseMillis, @Nullable String invalidPause) {

	/** An answer that says nothing of further work. */
	public static final EndpointNotice NONE = new EndpointNotice(false, 0, null);

}
