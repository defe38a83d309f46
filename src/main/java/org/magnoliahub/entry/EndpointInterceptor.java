package org.magnoliahub.entry;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.ResponseHead;

/**
 * Intercepts calls to an endpoint: checks before the request is sent whether it still may
 * be, and sees the head of the response. All kinds of calls use it, so that a notice in
 * any response is applied.
 */
interface EndpointInterceptor {

	/** For peers that are not endpoints, such as the store. */
	EndpointInterceptor NONE = new EndpointInterceptor() {

		@Override
		public @Nullable String refusalReason() {
			return null;
		}

		@Override
		public void onHead(ResponseHead head) {
		}

	};

	/**
	 * Returns why the call must not be sent. Called right before the request is written,
	 * because the state of the endpoint may have changed while a connection was opened.
	 * @return the reason, or {@code null} if it may be sent
	 */
	@Nullable String refusalReason();

	/**
	 * Called with the head of the response to the call.
	 * @param head the head
	 */
	void onHead(ResponseHead head);

}
