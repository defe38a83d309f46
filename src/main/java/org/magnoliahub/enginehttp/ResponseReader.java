package org.magnoliahub.enginehttp;

import java.io.IOException;

import okhttp3.Response;
import okio.BufferedSource;
import org.magnoliahub.agent.EndpointEvent;
import org.magnoliahub.agent.EndpointException;

/**
 * Reads the events of one response, one at a time and on demand.
 */
abstract class ResponseReader {

	/** Largest body of a response, in bytes. */
	static final long MAXIMUM_BODY_BYTES = 1024 * 1024;

	private final Exchange exchange;

	private final Response response;

	ResponseReader(Exchange exchange, Response response) {
		this.exchange = exchange;
		this.response = response;
	}

	/**
	 * Reads the next event.
	 * @return the event; the last one is {@link EndpointEvent.Finished}
	 * @throws EndpointException if the response ends early, is too large or is not in the
	 * expected form
	 */
	final EndpointEvent next() throws EndpointException {
		try {
			return read(source());
		}
		catch (IOException ex) {
			throw this.exchange.failure(ex);
		}
	}

	protected abstract EndpointEvent read(BufferedSource source) throws IOException, EndpointException;

	final void close() {
		this.response.close();
	}

	private BufferedSource source() throws EndpointException {
		if (this.response.body() == null) {
			throw new EndpointException("response has no body", true);
		}
		return this.response.body().source();
	}

	/**
	 * Reads a body that is no stream.
	 * @param source the body
	 * @return the text
	 * @throws IOException if reading fails
	 * @throws EndpointException if the body is too large
	 */
	static String readAll(BufferedSource source) throws IOException, EndpointException {
		if (source.request(MAXIMUM_BODY_BYTES + 1)) {
			throw new EndpointException("response is larger than " + MAXIMUM_BODY_BYTES + " bytes", true);
		}
		return source.readUtf8();
	}

}
