package org.magnoliahub.entry;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/**
 * One complete request of a caller, and the means to respond to it.
 */
interface CallerExchange {

	/**
	 * Returns the HTTP method.
	 * @return the method
	 */
	HttpMethod method();

	/**
	 * Returns path and query as the caller sent them.
	 * @return the request target
	 */
	String target();

	/**
	 * Returns the headers.
	 * @return the headers as the caller sent them
	 */
	HttpHeaders headers();

	/**
	 * Returns the request body.
	 * @return the body, may be empty
	 */
	byte[] body();

	/**
	 * Returns when the request had been received completely.
	 * @return the monotonic time, in milliseconds
	 */
	long arrivedMillis();

	/**
	 * Sends a complete response. If a streamed response has started, the connection is
	 * closed instead, because a second head would become part of the stream.
	 * @param status the response status
	 * @param headers the headers, without connection headers
	 * @param body the response body
	 */
	void respond(int status, HttpHeaders headers, byte[] body);

	/**
	 * Starts a streamed response. If one has started before, the connection is closed
	 * instead.
	 * @param status the response status
	 * @param headers the headers, without connection headers
	 */
	void startStream(int status, HttpHeaders headers);

	/**
	 * Writes a part of a streamed response body.
	 * @param data the bytes
	 * @return whether the connection is writable, so that more data can be written
	 */
	boolean write(byte[] data);

	/**
	 * Completes a streamed response.
	 */
	void endStream();

	/**
	 * Closes the connection, so that the caller sees an incomplete response.
	 */
	void abort();

	/**
	 * Sets the observer of the caller's connection.
	 * @param observer the observer, or {@code null} for none
	 */
	void setObserver(@Nullable Observer observer);

	/**
	 * Receives changes of the caller's connection during a request.
	 */
	interface Observer {

		/**
		 * Called when the connection was closed before the response ended.
		 */
		void onDisconnected();

		/**
		 * Called when the connection has become writable again.
		 */
		void onWritable();

	}

}
