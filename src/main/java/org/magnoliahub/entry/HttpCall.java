package org.magnoliahub.entry;

import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.magnoliahub.serving.ResponseHead;

/**
 * An HTTP request sent by this gateway.
 *
 * @param address host and port of the peer
 * @param method the HTTP method
 * @param target path and query
 * @param headers the headers; {@code Content-Length} and a missing {@code Host} are added
 * @param body the body, may be empty
 * @param maximumIdleMillis maximum idle time of a pooled connection that may be reused,
 * zero to open a new connection
 * @param connectTimeoutMillis timeout for opening a new connection
 * @param maximumBodyBytes maximum size of the response body
 * @param responseFilter accepts the response to this request and rejects late responses
 * to earlier ones
 * @param interceptor checks the call before it is sent and receives the head of its
 * response
 */
record HttpCall(String address, HttpMethod method, String target, HttpHeaders headers, byte[] body,
		long maximumIdleMillis, int connectTimeoutMillis, long maximumBodyBytes, Predicate<ResponseHead> responseFilter,
		EndpointInterceptor interceptor) {
}
