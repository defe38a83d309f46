package org.magnoliahub.entry;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.ResponseHead;

/**
 * An HTTP request sent by this gateway.
 *
 * @param address host and port of the peer
 * @param connectionGroup kind of call; a call reuses only connections that carried calls
 * of its kind, so that a response to another kind is never taken for its response
 * @param method the HTTP method
 * @param target path and query
 * @param headers the headers; {@code Content-Length} and a missing {@code Host} are added
 * @param body the body, may be empty
 * @param maximumIdleMillis maximum idle time of a pooled connection that may be reused,
 * zero to open a new connection
 * @param connectTimeoutMillis timeout for opening a new connection
 * @param maximumBodyBytes maximum size of the response body
 * @param requestId id that the response must name, so that a response to an earlier
 * request is skipped, or {@code null} if responses to such calls name no request
 * @param interceptor checks the call before it is sent and receives the head of its
 * response
 */
record HttpCall(String address, String connectionGroup, HttpMethod method, String target, HttpHeaders headers,
		byte[] body, long maximumIdleMillis, int connectTimeoutMillis, long maximumBodyBytes,
		@Nullable String requestId, EndpointInterceptor interceptor) {

	/**
	 * Returns the key of the connections that the call can reuse.
	 * @return address and kind of call
	 */
	ConnectionKey connectionKey() {
		return new ConnectionKey(this.address, this.connectionGroup);
	}

	/**
	 * Returns whether a response belongs to this call.
	 * @param head the head of the response
	 * @return {@code false} if the response belongs to an earlier request
	 */
	boolean isAnsweredBy(ResponseHead head) {
		return this.requestId == null || this.requestId.equals(head.requestId());
	}

	/**
	 * Identifies connections that are reused for the same calls.
	 *
	 * @param address host and port of the peer
	 * @param group kind of call
	 */
	record ConnectionKey(String address, String group) {

		// The generated methods load classes that lengthen the start.
		@Override
		public boolean equals(@Nullable Object other) {
			return other instanceof ConnectionKey key && this.address.equals(key.address)
					&& this.group.equals(key.group);
		}

		@Override
		public int hashCode() {
			return 31 * this.address.hashCode() + this.group.hashCode();
		}

	}

}
