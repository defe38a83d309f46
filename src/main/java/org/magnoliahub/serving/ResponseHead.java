package org.magnoliahub.serving;

import org.jspecify.annotations.Nullable;

/**
 * Status and evaluated headers of an endpoint's response.
 *
 * @param status status code
 * @param requestId id of the request that the response belongs to, if specified
 * @param signed whether the response has a signature of the endpoint
 * @param notExecuted whether the response proves that the request was not and will not be
 * executed
 * @param contentEncoded whether the body has a content encoding, and therefore is not the
 * body that the endpoint sent
 * @param closesConnection whether the endpoint closes the connection after the response
 * @param endsWithConnection whether the end of the body is that of the connection,
 * because the response states neither a length nor chunks
 * @param keepAliveMillis idle timeout of the connection at the endpoint, in milliseconds,
 * or -1 if not specified
 * @param load load that the endpoint reported, if any
 * @param notice draining and pause signals
 */
public record ResponseHead(int status, @Nullable String requestId, boolean signed, boolean notExecuted,
		boolean contentEncoded, boolean closesConnection, boolean endsWithConnection, long keepAliveMillis,
		@Nullable EndpointLoad load, EndpointNotice notice) {

	/**
	 * Returns whether the status tells a caller that its request was not executed and
	 * will not be.
	 * @return whether the status must not be relayed without a proof
	 */
	public boolean impliesNotExecuted() {
		return this.status == 408 || this.status == 421 || this.status == 429 || this.status == 503;
	}

	/**
	 * Returns whether the response comes from an endpoint. One with neither signature nor
	 * proof of non-execution may come from another process.
	 * @return whether its notices count
	 */
	public boolean isFromEndpoint() {
		return this.signed || this.notExecuted || this.status == 503;
	}

	/**
	 * Returns whether the response is successful.
	 * @return whether the status is 2xx
	 */
	public boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

}
