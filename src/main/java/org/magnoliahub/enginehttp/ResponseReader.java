package org.magnoliahub.enginehttp;

import java.io.IOException;

import okhttp3.Response;
import okio.BufferedSource;
import org.magnoliahub.agent.EndpointEvent;
import org.magnoliahub.agent.EndpointException;

/**
 * Reads the events of a response on demand, one at a time.
 */
abstract class ResponseReader {

	/** Maximum size of a response body in bytes. */
	static final long MAXIMUM_BODY_BYTES = 1024 * 1024;

	private final EndpointExchange exchange;

	private final Response response;

	ResponseReader(EndpointExchange exchange, Response response) {
		this.exchange = exchange;
		this.response = response;
	}

	/**
	 * Reads the next event.
	 * @return the event; the last one is {@link EndpointEvent.Finished}
	 * @throws EndpointException if the response is truncated, too large or not in the
	 * expected format
	 */
	final EndpointEvent nextEvent() throws EndpointException {
		try {
			return readEvent(bodySource());
		}
		catch (IOException ex) {
			throw this.exchange.toEndpointException(ex);
		}
	}

	protected abstract EndpointEvent readEvent(BufferedSource source) throws IOException, EndpointException;

	final void close() {
		this.response.close();
	}

	private BufferedSource bodySource() throws EndpointException {
		if (this.response.body() == null) {
			throw new EndpointException("response has no body", true);
		}
		return this.response.body().source();
	}

	/**
	 * Reads a whole response body that is not streamed.
	 * @param source the body
	 * @return the body decoded as UTF-8
	 * @throws IOException if reading fails
	 * @throws EndpointException if the body exceeds {@link #MAXIMUM_BODY_BYTES}
	 */
	static String readBody(BufferedSource source) throws IOException, EndpointException {
		if (source.request(MAXIMUM_BODY_BYTES + 1)) {
			throw new EndpointException("response is larger than " + MAXIMUM_BODY_BYTES + " bytes", true);
		}
		return source.readUtf8();
	}

}
