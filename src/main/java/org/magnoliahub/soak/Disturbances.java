package org.magnoliahub.soak;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Spans of time in which faults excuse gateways. Times are monotonic, in milliseconds.
 */
final class Disturbances {

	/** A gateway is in touch again this long after a disturbance. */
	static final long CONTACT_MILLIS = 3_000;

	private static final long OPEN = Long.MAX_VALUE - CONTACT_MILLIS;

	private static final int ALL_GATEWAYS = -1;

	private static final int LINK = -2;

	private static final int ENDPOINT = -3;

	private static final int PLANNED_END = -4;

	private final List<Span> spans = new CopyOnWriteArrayList<>();

	/**
	 * Notes that a disturbance of one gateway, its process or its link to the store,
	 * begins.
	 * @param gateway index of the gateway
	 * @return the span, to be ended
	 */
	Span beginGateway(int gateway) {
		return begin(gateway);
	}

	/**
	 * Notes that a disturbance of all gateways begins.
	 * @return the span, to be ended
	 */
	Span beginAll() {
		return begin(ALL_GATEWAYS);
	}

	/**
	 * Notes that an endpoint's disturbance begins, which leaves all gateways in touch.
	 * @param endpoint id of the endpoint
	 * @return the span, to be ended
	 */
	Span beginEndpoint(String endpoint) {
		return begin(new Span(ENDPOINT, endpoint, Ledger.now()));
	}

	/**
	 * Notes that an endpoint ends as planned, which disturbs nothing else.
	 * @param endpoint id of the endpoint
	 * @return the span, to be ended
	 */
	Span beginPlannedEnd(String endpoint) {
		return begin(new Span(PLANNED_END, endpoint, Ledger.now()));
	}

	/**
	 * Notes that a disturbance of the link to one endpoint begins.
	 * @param endpoint id of the endpoint
	 * @return the span, to be ended
	 */
	Span beginLink(String endpoint) {
		return begin(new Span(LINK, endpoint, Ledger.now()));
	}

	private Span begin(int gateway) {
		return begin(new Span(gateway, "", Ledger.now()));
	}

	private Span begin(Span span) {
		this.spans.add(span);
		return span;
	}

	/**
	 * Returns whether the link to an endpoint was sound throughout.
	 * @param endpoint id of the endpoint
	 * @param from start of the time in question
	 * @param to its end
	 * @return whether nothing held requests up on the way
	 */
	boolean isLinkCalm(String endpoint, long from, long to) {
		return this.spans.stream()
			.filter((span) -> span.gateway == LINK && span.endpoint.equals(endpoint))
			.noneMatch((span) -> span.meets(from, to));
	}

	/**
	 * Returns whether a gateway was in touch throughout.
	 * @param gateway index of the gateway
	 * @param from start of the time in question
	 * @param to its end
	 * @return whether no disturbance excuses it
	 */
	boolean isCalm(int gateway, long from, long to) {
		return this.spans.stream()
			.filter((span) -> span.gateway == gateway || span.gateway == ALL_GATEWAYS)
			.noneMatch((span) -> span.meets(from, to));
	}

	/**
	 * Returns whether a gateway is in touch at a moment: nothing disturbed it for the
	 * contact time before.
	 * @param gateway index of the gateway
	 * @param moment the moment
	 * @param slackMillis further time without a disturbance that is asked for
	 * @return whether rules with a time bound hold for it
	 */
	boolean isInTouch(int gateway, long moment, long slackMillis) {
		return isCalm(gateway, moment - slackMillis, moment);
	}

	/**
	 * Returns the first moment at which a gateway is in touch.
	 * @param gateway index of the gateway
	 * @param from earliest moment
	 * @param slackMillis further time without a disturbance that is asked for
	 * @return the moment, or the largest value if a disturbance did not end
	 */
	long firstInTouch(int gateway, long from, long slackMillis) {
		long moment = from;
		for (Span span : this.spans.stream()
			.filter((known) -> known.gateway == gateway || known.gateway == ALL_GATEWAYS)
			.sorted(Comparator.comparingLong((known) -> known.from))
			.toList()) {
			if (span.meets(moment - slackMillis, moment)) {
				if (!span.hasEnded()) {
					return Long.MAX_VALUE;
				}
				moment = span.to + CONTACT_MILLIS + slackMillis + 1;
			}
		}
		return moment;
	}

	/**
	 * Returns whether an endpoint and the link to it were sound throughout.
	 * @param endpoint id of the endpoint
	 * @param from start of the time in question
	 * @param to its end
	 * @return whether neither excuses a gateway
	 */
	boolean isEndpointSound(String endpoint, long from, long to) {
		return isLinkCalm(endpoint, from, to) && this.spans.stream()
			.filter((span) -> (span.gateway == ENDPOINT || span.gateway == PLANNED_END)
					&& span.endpoint.equals(endpoint))
			.noneMatch((span) -> span.meets(from, to));
	}

	/**
	 * Returns whether there was no disturbance at all.
	 * @param from start of the time in question
	 * @param to its end
	 * @return whether nothing excuses anyone
	 */
	boolean isUndisturbed(long from, long to) {
		return this.spans.stream()
			.filter((span) -> span.gateway != PLANNED_END)
			.noneMatch((span) -> span.meets(from, to));
	}

	/**
	 * Returns the disturbances for people who trace a finding.
	 * @return a line for each, in the order of their start
	 */
	List<String> timeline() {
		return this.spans.stream().map(Span::toString).toList();
	}

	/**
	 * A disturbance.
	 */
	static final class Span {

		private final int gateway;

		private final String endpoint;

		private final long from;

		private volatile long to = OPEN;

		private Span(int gateway, String endpoint, long from) {
			this.gateway = gateway;
			this.endpoint = endpoint;
			this.from = from;
		}

		void end() {
			this.to = Ledger.now();
		}

		@Override
		public String toString() {
			return "from " + this.from + " to " + this.to + " " + switch (this.gateway) {
				case ALL_GATEWAYS -> "all gateways";
				case LINK -> "link to " + this.endpoint;
				case ENDPOINT -> "endpoint " + this.endpoint;
				case PLANNED_END -> "planned end of " + this.endpoint;
				default -> "gateway " + this.gateway;
			};
		}

		private boolean hasEnded() {
			return this.to != OPEN;
		}

		private boolean meets(long start, long end) {
			return this.from <= end && this.to + CONTACT_MILLIS >= start;
		}

	}

}
