package org.magnoliahub.entry;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.ResponseHead;

/**
 * What a connection asks and tells about the endpoint that a call goes to. All kinds of
 * calls pass through it, so that a notice of an endpoint is heeded wherever it comes.
 */
interface EndpointContact {

	/** A peer that is no endpoint. */
	EndpointContact NONE = new EndpointContact() {

		@Override
		public @Nullable String refusal() {
			return null;
		}

		@Override
		public void answered(ResponseHead head) {
		}

	};

	/**
	 * Returns why the call must not be sent, asked when a connection is open.
	 * @return the reason, or {@code null} if it may be sent
	 */
	@Nullable String refusal();

	/**
	 * Called with the head of the answer to the call.
	 * @param head the head
	 */
	void answered(ResponseHead head);

}
