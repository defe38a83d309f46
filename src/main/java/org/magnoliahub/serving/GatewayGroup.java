package org.magnoliahub.serving;

import java.util.Collection;
import java.util.Set;

/**
 * Gateways that send requests to the same endpoints.
 */
public final class GatewayGroup {

	private final String self;

	private Set<String> others = Set.of();

	/**
	 * Creates a group with only one gateway.
	 * @param self name of this gateway
	 */
	public GatewayGroup(String self) {
		this.self = self;
	}

	/**
	 * Replaces the other gateways.
	 * @param names their names
	 */
	public void setOthers(Collection<String> names) {
		this.others = Set.copyOf(names);
	}

	/**
	 * Returns the part of this gateway in the request rate of an endpoint.
	 * @param endpointId id of the endpoint
	 * @param perSecond requests per second that the endpoint accepts from all gateways
	 * @return the part
	 */
	public RateShare rateShare(String endpointId, double perSecond) {
		return RateShare.of(endpointId, perSecond, this.self, this.others);
	}

}
