package org.magnoliahub.entry;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.ResponseHead;

/**
 * What a connection asks and tells about the endpoint that a call goes to. All kinds of
 * calls pass through it, so that a notice of an endpoint is heeded wherever it comes.
 */
interface EndpointInterceptor {

	/** A peer that is no endpoint. */
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
	 * Returns why the call must not be sent, asked when a connection is open.
	 * @return the reason, or {@code null} if it may be sent
	 */
	@Nullable String refusalReason();

	/**
	 * Called with the head of the answer to the call.
	 * @param head the head
	 */
	void onHead(ResponseHead head);

}
