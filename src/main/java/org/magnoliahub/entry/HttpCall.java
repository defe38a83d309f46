package org.magnoliahub.entry;

import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.magnoliahub.serving.ResponseHead;

/**
 * A request that this gateway sends.
 *
 * @param address host and port of the peer
 * @param method the method
 * @param target path and query
 * @param headers headers, without length and host of the connection
 * @param body the body, may be empty
 * @param maximumIdleMillis longest idle time of a kept connection that may be used, zero
 * for a new connection
 * @param connectTimeoutMillis longest time for a new connection to open
 * @param maximumBodyBytes longest body that is taken
 * @param responseFilter tells answers to this request from late ones to earlier requests
 * @param interceptor learns what the answer says of the peer
 */
record HttpCall(String address, HttpMethod method, String target, HttpHeaders headers, byte[] body,
		long maximumIdleMillis, int connectTimeoutMillis, long maximumBodyBytes, Predicate<ResponseHead> responseFilter,
		EndpointInterceptor interceptor) {
}
