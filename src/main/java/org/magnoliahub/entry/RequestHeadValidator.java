package org.magnoliahub.entry;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Validates request heads to prevent request smuggling, where a second request is hidden
 * in the body of the first.
 */
final class RequestHeadValidator {

	private RequestHeadValidator() {
	}

	/**
	 * Returns whether the head of a request is unambiguous.
	 * @param request the head
	 * @return whether to accept the request
	 */
	static boolean isUnambiguous(HttpRequest request) {
		HttpHeaders headers = request.headers();
		List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (!encodings.isEmpty()) {
			if (encodings.size() > 1 || !encodings.get(0).trim().equalsIgnoreCase("chunked")
					|| !request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
				return false;
			}
		}
		if (headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1
				|| headers.getAll(HttpHeaderNames.HOST).size() > 1) {
			return false;
		}
		return request.uri().startsWith("/") && !request.method().equals(HttpMethod.CONNECT);
	}

}
