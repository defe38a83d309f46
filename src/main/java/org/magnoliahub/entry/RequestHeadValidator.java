package org.magnoliahub.entry;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Checks of a request's head that keep callers from hiding a second request in a body.
 */
final class RequestHeadValidator {

	private RequestHeadValidator() {
	}

	/**
	 * Returns whether a head has one clear meaning.
	 * @param request the head
	 * @return whether the request may be read on
	 */
	static boolean isAcceptable(HttpRequest request) {
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
