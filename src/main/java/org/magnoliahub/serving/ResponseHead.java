package org.magnoliahub.serving;

import org.jspecify.annotations.Nullable;

/**
 * What the head of an endpoint's answer says.
 *
 * @param status status code
 * @param requestId id of the request it belongs to, if stated
 * @param signed whether it bears the endpoint's signature
 * @param notExecuted whether it proves that the request did not and will not run
 * @param contentEncoded whether the body is encoded, and so is not the endpoint's body
 * @param closesConnection whether the endpoint closes the connection after it
 * @param keepAliveMillis stated idle time of the connection, in milliseconds, or -1
 * @param load the stated load, if any
 * @param notice what it says of further work
 */
public record ResponseHead(int status, @Nullable String requestId, boolean signed, boolean notExecuted,
		boolean contentEncoded, boolean closesConnection, long keepAliveMillis, @Nullable EndpointLoad load,
		EndpointNotice notice) {

	/**
	 * Returns whether the answer is a success.
	 * @return whether the status is 2xx
	 */
	public boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

}
