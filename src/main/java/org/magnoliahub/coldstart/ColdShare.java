package org.magnoliahub.coldstart;

/**
 * Divides the request rate of a cold server among gateways that may have different views
 * of each other. A gateway that is not informed has no share.
 */
public final class ColdShare {

	/**
	 * Gateways that may send stage pieces: the owner of a queue, and those that become
	 * its owner if links to the ones before them are lost.
	 */
	private static final int STAGE_OWNERS = 3;

	private final ColdBounds bounds;

	private final GatewayView gateways;

	/**
	 * Creates a division.
	 * @param bounds limit for all gateways
	 * @param gateways the gateways, as this one knows them
	 */
	public ColdShare(ColdBounds bounds, GatewayView gateways) {
		this.bounds = bounds;
		this.gateways = gateways;
	}

	/**
	 * Returns the pace at which this gateway may send callers' requests to a cold server.
	 * @param endpointId id of the server
	 * @param perSecond rate that the server accepts from all gateways
	 * @param now monotonic time, in milliseconds
	 * @return the pace
	 */
	ColdPace pace(String endpointId, double perSecond, long now) {
		int included = Math.min(this.gateways.size(), maximumIncluded(perSecond));
		if (!this.gateways.isInformed(now) || this.gateways.position(endpointId) >= included) {
			return ColdPace.withoutShare(perSecond);
		}
		return ColdPace.of(this.bounds.dividedPerSecond(perSecond) / included, perSecond);
	}

	// The included gateways may send their requests in phase. Each then sends up to one
	// request more in one second than its part of the rate, which the overage and the
	// slack must cover.
	private int maximumIncluded(double perSecond) {
		return (int) Math.max(1, Math.floor(Math.min(perSecond, this.bounds.requestsBeyondRate(perSecond))));
	}

	/**
	 * Returns the pace at which this gateway may send stage pieces to a cold server. The
	 * first gateway in the order of owners has the whole rate. The ones that follow it
	 * divide the overage and the slack, because they cannot know whether the first one
	 * still sends.
	 * @param service name of the stage service
	 * @param perSecond rate that the server accepts from all gateways
	 * @param now monotonic time, in milliseconds
	 * @return the pace
	 */
	ColdPace stagePace(String service, double perSecond, long now) {
		if (!this.gateways.isInformed(now)) {
			return ColdPace.withoutShare(perSecond);
		}
		int position = this.gateways.position(service);
		if (position == 0) {
			return ColdPace.of(this.bounds.dividedPerSecond(perSecond), perSecond);
		}
		double nextOwnerPerSecond = Math.min(perSecond,
				Math.floor(this.bounds.requestsBeyondRate(perSecond) / (STAGE_OWNERS - 1)));
		if (position >= STAGE_OWNERS || nextOwnerPerSecond < 1) {
			return ColdPace.withoutShare(perSecond);
		}
		return ColdPace.of(nextOwnerPerSecond, perSecond);
	}

}
