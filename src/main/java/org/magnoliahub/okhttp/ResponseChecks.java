package org.magnoliahub.okhttp;

import java.io.IOException;
import java.net.ProtocolException;

import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.httpsyntax.FieldNames;

/**
 * Rejects responses that the HTTP library accepts although they are malformed or not
 * complete. A rejected response fails its call and closes the connection.
 */
public final class ResponseChecks implements Interceptor {

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private ResponseChecks() {
	}

	/**
	 * Adds the checks to a client.
	 * @param client the client; its event listeners are replaced
	 * @return the client
	 */
	public static OkHttpClient.Builder addTo(OkHttpClient.Builder client) {
		return client.eventListenerFactory(RequestTransmission::listenerFor)
			.addNetworkInterceptor(new ResponseChecks());
	}

	@Override
	public Response intercept(Chain chain) throws IOException {
		RequestTransmission transmission = RequestTransmission.find(chain.request());
		Response response = receive(chain);
		String fault = fault(response, transmission);
		if (fault == null) {
			return isChunked(response) ? TrailerCheck.addTo(response) : response;
		}
		closeConnection(chain);
		response.close();
		throw new ProtocolException(fault);
	}

	private static Response receive(Chain chain) throws IOException {
		try {
			return chain.proceed(chain.request());
		}
		catch (IllegalStateException ex) {
			// The library reads a negative status, but cannot represent it.
			closeConnection(chain);
			throw new ProtocolException("malformed response: " + ex.getMessage());
		}
	}

	private static void closeConnection(Chain chain) throws IOException {
		Connection connection = chain.connection();
		if (connection != null) {
			connection.socket().close();
		}
	}

	private static @Nullable String fault(Response response, @Nullable RequestTransmission transmission) {
		if (!response.headers().names().stream().allMatch(FieldNames::isToken)) {
			return "malformed response: invalid field name";
		}
		// A failed write consumes the reset of a connection, so that a read behind it
		// finds the regular end of the input.
		boolean broken = transmission != null && transmission.hasFailed();
		return (broken && endsWithConnection(response)) ? "connection broken off within the response" : null;
	}

	private static boolean endsWithConnection(Response response) {
		boolean withoutBody = response.code() == NO_CONTENT || response.code() == NOT_MODIFIED;
		return !isChunked(response) && !withoutBody && response.header("Content-Length") == null;
	}

	private static boolean isChunked(Response response) {
		return "chunked".equalsIgnoreCase(response.header("Transfer-Encoding"));
	}

}
