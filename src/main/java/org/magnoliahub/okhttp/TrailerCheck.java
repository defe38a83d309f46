package org.magnoliahub.okhttp;

import java.io.IOException;
import java.net.ProtocolException;

import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.Buffer;
import okio.ForwardingSource;
import okio.Okio;
import org.magnoliahub.httpsyntax.FieldNames;

/**
 * Body of a chunked response. Reading its end fails if the trailers have a malformed
 * field name.
 */
final class TrailerCheck extends ForwardingSource {

	private final Response response;

	private TrailerCheck(Response response, ResponseBody body) {
		super(body.source());
		this.response = response;
	}

	/**
	 * Adds the check to a response.
	 * @param response the response, whose body has not been read
	 * @return the response with a body that is checked
	 */
	static Response addTo(Response response) {
		ResponseBody body = response.body();
		if (body == null) {
			return response;
		}
		TrailerCheck checked = new TrailerCheck(response, body);
		return response.newBuilder()
			.body(ResponseBody.create(Okio.buffer(checked), body.contentType(), body.contentLength()))
			.build();
	}

	@Override
	public long read(Buffer sink, long byteCount) throws IOException {
		long count = super.read(sink, byteCount);
		if (count < 0 && !this.response.trailers().names().stream().allMatch(FieldNames::isToken)) {
			throw new ProtocolException("malformed response: invalid field name in trailers");
		}
		return count;
	}

}
