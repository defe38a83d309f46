package org.magnoliahub.entry;

/**
 * Calls to the platform's store. Responses of an earlier era of its data are reported as
 * failures.
 */
interface StoreCalls {

	/**
	 * Reads rows or an object.
	 * @param target path and query
	 * @param timeoutMillis maximum time until the complete response, in milliseconds
	 * @param handler receives the response
	 */
	void get(String target, long timeoutMillis, Handler handler);

	/**
	 * Deletes an object.
	 * @param target path and query
	 * @param timeoutMillis maximum time until the complete response, in milliseconds
	 * @param handler receives the response
	 */
	void delete(String target, long timeoutMillis, Handler handler);

	/**
	 * Writes an object.
	 * @param target path and query
	 * @param body its content
	 * @param onlyIfAbsent whether to keep an object that exists already
	 * @param timeoutMillis maximum time until the complete response, in milliseconds
	 * @param handler receives the response
	 */
	void put(String target, byte[] body, boolean onlyIfAbsent, long timeoutMillis, Handler handler);

	/**
	 * Writes and removes rows.
	 * @param target path and query
	 * @param body the changes
	 * @param timeoutMillis maximum time until the complete response, in milliseconds
	 * @param handler receives the response
	 */
	void post(String target, byte[] body, long timeoutMillis, Handler handler);

	/**
	 * Receives the response to a call, or its failure.
	 */
	interface Handler {

		/**
		 * Called with a complete response.
		 * @param status the status
		 * @param body the body
		 */
		void onResponse(int status, byte[] body);

		/**
		 * Called when there is no valid response. A write may have taken effect
		 * nevertheless.
		 * @param reason what happened, for logs
		 */
		void onFailure(String reason);

	}

}
