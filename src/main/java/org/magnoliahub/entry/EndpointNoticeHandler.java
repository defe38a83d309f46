package org.magnoliahub.entry;

import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.placement.Placement;
import org.magnoliahub.serving.EndpointNotice;
import org.magnoliahub.serving.EndpointState;
import org.magnoliahub.serving.GatewayGroup;
import org.magnoliahub.serving.RateShare;
import org.magnoliahub.serving.ResponseHead;
import org.magnoliahub.time.Timers;

/**
 * Applies the notices in response heads of endpoints, for all kinds of calls: an endpoint
 * that announces that it drains gets no further calls, and one that requests a pause gets
 * none until the pause ends. Calls with new work for an endpoint in an evacuated zone are
 * withheld. The request rate that an endpoint states is divided among the gateways.
 */
final class EndpointNoticeHandler {

	/** Status of a server that is not the intended endpoint but has its address. */
	private static final int MISDIRECTED_REQUEST = 421;

	private final Timers timers;

	private final EntryLog log;

	private final EntryMetrics metrics;

	private final HttpClient httpClient;

	private final GatewayGroup gateways;

	private final Placement placement;

	EndpointNoticeHandler(Timers timers, EntryLog log, EntryMetrics metrics, HttpClient httpClient,
			GatewayGroup gateways, Placement placement) {
		this.timers = timers;
		this.log = log;
		this.metrics = metrics;
		this.httpClient = httpClient;
		this.gateways = gateways;
		this.placement = placement;
	}

	/**
	 * Returns the interceptor for a call.
	 * @param endpoint the endpoint that the call goes to
	 * @param isFromEndpoint whether a response comes from that endpoint
	 * @return the interceptor
	 */
	EndpointInterceptor interceptor(EndpointState endpoint, Predicate<ResponseHead> isFromEndpoint) {
		return new NoticeInterceptor(endpoint, isFromEndpoint, this.gateways::rateShare, true);
	}

	/**
	 * Returns the interceptor for a call to a stage endpoint. Only the owner of its queue
	 * calls it, so the whole rate that it states is that of this gateway.
	 * @param endpoint the endpoint that the call goes to
	 * @return the interceptor
	 */
	EndpointInterceptor stageInterceptor(EndpointState endpoint) {
		return new NoticeInterceptor(endpoint, (head) -> true, (id, perSecond) -> RateShare.WHOLE, true);
	}

	/**
	 * Returns the interceptor for a call that releases results of a stage endpoint. The
	 * results of a server in an evacuated zone are released, since that is no new work.
	 * @param endpoint the endpoint that the call goes to
	 * @return the interceptor
	 */
	EndpointInterceptor releaseInterceptor(EndpointState endpoint) {
		return new NoticeInterceptor(endpoint, (head) -> true, (id, perSecond) -> RateShare.WHOLE, false);
	}

	/**
	 * Returns the interceptor for a request for the state of an endpoint, which is no new
	 * work either.
	 * @param endpoint the endpoint that the call goes to
	 * @return the interceptor
	 */
	EndpointInterceptor stateInterceptor(EndpointState endpoint) {
		return new NoticeInterceptor(endpoint, (head) -> true, this.gateways::rateShare, false);
	}

	private void handle(EndpointState endpoint, EndpointNotice notice, RateDivision division) {
		handleRate(endpoint, notice, division);
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

	private void handleRate(EndpointState endpoint, EndpointNotice notice, RateDivision division) {
		long now = this.timers.milliTime();
		if (notice.invalidRate() != null) {
			this.log.event(EntryEvent.RATE_REJECTED)
				.field("endpoint", endpoint.record().id())
				.field("value", notice.invalidRate())
				.write();
			return;
		}
		double perSecond = notice.requestsPerSecond();
		RateShare share = (perSecond > 0) ? division.share(endpoint.record().id(), perSecond) : RateShare.WHOLE;
		boolean changed = (perSecond > 0) ? endpoint.limitRate(now, perSecond, share) : endpoint.endRateLimit(now);
		if (changed) {
			this.metrics.endpointNotice((perSecond > 0) ? "rate" : "rate_ended");
			this.log.event(EntryEvent.ENDPOINT_RATE)
				.field("endpoint", endpoint.record().id())
				.field("service", endpoint.record().service())
				.field("per_second", perSecond)
				.field("rank", share.rank())
				.field("gateways", share.included())
				.write();
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

	/**
	 * Divides the request rate of an endpoint among gateways.
	 */
	private interface RateDivision {

		/**
		 * Returns the part of this gateway.
		 * @param endpointId the id of the endpoint
		 * @param perSecond the rate that it states
		 * @return the part
		 */
		RateShare share(String endpointId, double perSecond);

	}

	private final class NoticeInterceptor implements EndpointInterceptor {

		private final EndpointState endpoint;

		private final Predicate<ResponseHead> isFromEndpoint;

		private final RateDivision division;

		private final boolean newWork;

		private final int limitPeriods;

		private NoticeInterceptor(EndpointState endpoint, Predicate<ResponseHead> isFromEndpoint, RateDivision division,
				boolean newWork) {
			this.endpoint = endpoint;
			this.isFromEndpoint = isFromEndpoint;
			this.division = division;
			this.newWork = newWork;
			this.limitPeriods = endpoint.sendLimitPeriods();
		}

		@Override
		public @Nullable String refusalReason() {
			if (this.endpoint.isDraining()) {
				return "endpoint leaves";
			}
			if (this.newWork
					&& EndpointNoticeHandler.this.placement.isEvacuated(this.endpoint.record().availabilityZone())) {
				return "zone evacuated";
			}
			long now = EndpointNoticeHandler.this.timers.milliTime();
			// The limit of an endpoint that became cold meanwhile does not count the
			// call.
			if (this.endpoint.isSendLimited(now) && this.endpoint.sendLimitPeriods() != this.limitPeriods) {
				return "endpoint cold";
			}
			if (this.endpoint.isPauseRequested(now)) {
				return "endpoint paused";
			}
			this.endpoint.recordSending(now);
			return null;
		}

		@Override
		public void onHead(ResponseHead head) {
			if (head.status() != MISDIRECTED_REQUEST && this.isFromEndpoint.test(head)) {
				handle(this.endpoint, head.notice(), this.division);
			}
		}

	}

}
