package org.magnoliahub.entry;

import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.EndpointNotice;
import org.magnoliahub.serving.EndpointState;
import org.magnoliahub.serving.ResponseHead;
import org.magnoliahub.time.Timers;

/**
 * Heeds what endpoints say of further work in their answers, for all kinds of calls: one
 * that leaves gets none, one that asks for a pause gets none until its end.
 */
final class EndpointNoticeHandler {

	/** Answer of another endpoint at the same address. */
	private static final int MISDIRECTED = 421;

	private final Timers timers;

	private final EntryLog log;

	private final EntryMetrics metrics;

	private final HttpClient http;

	EndpointNoticeHandler(Timers timers, EntryLog log, EntryMetrics metrics, HttpClient http) {
		this.timers = timers;
		this.log = log;
		this.metrics = metrics;
		this.http = http;
	}

	/**
	 * Returns the contact for a call.
	 * @param endpoint the endpoint that the call goes to
	 * @param genuine tells answers of that endpoint from others
	 * @return the contact
	 */
	EndpointInterceptor interceptor(EndpointState endpoint, Predicate<ResponseHead> genuine) {
		return new NoticeInterceptor(endpoint, genuine);
	}

	private void heed(EndpointState endpoint, EndpointNotice notice) {
		if (notice.draining() && endpoint.markDraining()) {
			this.http.closeIdle(endpoint.record().address());
			write(endpoint, "leaving", 0);
		}
		if (notice.invalidPause() != null) {
			this.log.event(EntryEvent.PAUSE_REJECTED)
				.field("endpoint", endpoint.record().id())
				.field("value", notice.invalidPause())
				.write();
		}
		if (notice.pauseMillis() > 0) {
			endpoint.requestPause(this.timers.milliTime(), notice.pauseMillis());
			write(endpoint, "paused", notice.pauseMillis());
		}
	}

	private void write(EndpointState endpoint, String state, long millis) {
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

		private final Predicate<ResponseHead> genuine;

		private NoticeInterceptor(EndpointState endpoint, Predicate<ResponseHead> genuine) {
			this.endpoint = endpoint;
			this.genuine = genuine;
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
			if (head.status() != MISDIRECTED && this.genuine.test(head)) {
				heed(this.endpoint, head.notice());
			}
		}

	}

}
