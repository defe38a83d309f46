package org.magnoliahub.entry;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller, read whole, and the way to answer it.
 */
interface CallerExchange {

	/**
	 * Returns the method.
	 * @return the method
	 */
	HttpMethod method();

	/**
	 * Returns path and query as the caller sent them.
	 * @return the target
	 */
	String target();

	/**
	 * Returns the headers.
	 * @return headers as the caller sent them
	 */
	HttpHeaders headers();

	/**
	 * Returns the body.
	 * @return the body, may be empty
	 */
	byte[] body();

	/**
	 * Returns when the request had been read.
	 * @return monotonic time, in milliseconds
	 */
	long arrivedMillis();

	/**
	 * Answers with a complete body.
	 * @param status the status
	 * @param headers headers without those of the connection
	 * @param body the body
	 */
	void respond(int status, HttpHeaders headers, byte[] body);

	/**
	 * Starts an answer whose body follows in parts.
	 * @param status the status
	 * @param headers headers without those of the connection
	 */
	void startStream(int status, HttpHeaders headers);

	/**
	 * Sends a part of the body.
	 * @param data the bytes
	 * @return whether the caller takes more at present
	 */
	boolean write(byte[] data);

	/**
	 * Ends an answer whose body was sent in parts.
	 */
	void endStream();

	/**
	 * Closes the connection, so that the answer does not look complete.
	 */
	void abort();

	/**
	 * Sets what hears about the caller.
	 * @param observer the observer, or {@code null} for none
	 */
	void setObserver(@Nullable Observer observer);

	/**
	 * Hears about the caller of a request.
	 */
	interface Observer {

		/**
		 * Called when the caller has closed its connection.
		 */
		void onDisconnected();

		/**
		 * Called when the caller takes more after it did not.
		 */
		void onWritable();

	}

}
