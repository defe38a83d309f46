package org.magnoliahub.entry;

import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.EndpointNotice;
import org.magnoliahub.serving.EndpointState;
import org.magnoliahub.serving.ResponseHead;
import org.magnoliahub.time.Timers;

/**
 * Applies the notices in response heads of endpoints, for all kinds of calls: an endpoint
 * that announces that it drains gets no further calls, and one that requests a pause gets
 * none until the pause ends.
 */
final class EndpointNoticeHandler {

	/** Status of a server that is not the intended endpoint but has its address. */
	private static final int MISDIRECTED_REQUEST = 421;

	private final Timers timers;

	private final EntryLog log;

	private final EntryMetrics metrics;

	private final HttpClient httpClient;

	EndpointNoticeHandler(Timers timers, EntryLog log, EntryMetrics metrics, HttpClient httpClient) {
		this.timers = timers;
		this.log = log;
		this.metrics = metrics;
		this.httpClient = httpClient;
	}

	/**
	 * Returns the interceptor for a call.
	 * @param endpoint the endpoint that the call goes to
	 * @param isFromEndpoint whether a response comes from that endpoint
	 * @return the interceptor
	 */
	EndpointInterceptor interceptor(EndpointState endpoint, Predicate<ResponseHead> isFromEndpoint) {
		return new NoticeInterceptor(endpoint, isFromEndpoint);
	}

	private void handle(EndpointState endpoint, EndpointNotice notice) {
		if (notice.draining() && endpoint.markDraining()) {
			this.httpClient.closeIdle(endpoint.record().address());
			countAndLog(endpoint, "leaving", 0);
		}
		if (notice.invalidPause() != null) {
			this.log.event(EntryEvent.PAUSE_REJECTED)
				.field("endpoint", endpoint.record().id())
				.field("value", notice.invalidPause())
				.write();
		}
		if (notice.pauseMillis() > 0) {
			endpoint.requestPause(this.timers.milliTime(), notice.pauseMillis());
			countAndLog(endpoint, "paused", notice.pauseMillis());
		}
	}

	private void countAndLog(EndpointState endpoint, String state, long millis) {
		this.metrics.endpointNotice(state);
		this.log.event(EntryEvent.ENDPOINT_NOTICE)
			.field("endpoint", endpoint.record().id())
			.field("service", endpoint.record().service())
			.field("state", state)
			.field("pause_ms", millis)
			.write();
	}

	private final class NoticeInterceptor implements EndpointInterceptor {

		private final EndpointState endpoint;

		private final Predicate<ResponseHead> isFromEndpoint;

		private NoticeInterceptor(EndpointState endpoint, Predicate<ResponseHead> isFromEndpoint) {
			this.endpoint = endpoint;
			this.isFromEndpoint = isFromEndpoint;
		}

		@Override
		public @Nullable String refusalReason() {
			if (this.endpoint.isDraining()) {
				return "endpoint leaves";
			}
			return this.endpoint.isPauseRequested(EndpointNoticeHandler.this.timers.milliTime()) ? "endpoint paused"
					: null;
		}

		@Override
		public void onHead(ResponseHead head) {
			if (head.status() != MISDIRECTED_REQUEST && this.isFromEndpoint.test(head)) {
				handle(this.endpoint, head.notice());
			}
		}

	}

}
