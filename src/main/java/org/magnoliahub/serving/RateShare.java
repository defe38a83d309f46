package org.magnoliahub.serving;

import java.util.Collection;

/**
 * Part of one gateway in the request rate of an endpoint.
 * <p>
 * The rate is divided among few gateways, each with at least one request a second where
 * the rate permits it: if all gateways had a part, their first requests could come at the
 * same moment and exceed a low rate. Rendezvous hashing selects them without messages.
 *
 * @param rank position of this gateway in the order for the endpoint, from zero
 * @param included number of gateways with a part, the first ones in the order
 * @param all number of all gateways
 */
public record RateShare(int rank, int included, int all) {

	/** The whole rate, for a gateway that is the only one to call an endpoint. */
	public static final RateShare WHOLE = new RateShare(0, 1, 1);

	/**
	 * Returns the part of a gateway.
	 * @param endpointId id of the endpoint
	 * @param perSecond requests per second that the endpoint accepts from all gateways
	 * @param gateway name of the gateway
	 * @param others names of the other gateways
	 * @return the part
	 */
	static RateShare of(String endpointId, double perSecond, String gateway, Collection<String> others) {
		long ownScore = RendezvousHash.score(endpointId, gateway);
		int rank = (int) others.stream().filter((other) -> RendezvousHash.score(endpointId, other) > ownScore).count();
		int all = others.size() + 1;
		return new RateShare(rank, (int) Math.max(1, Math.min(all, Math.floor(perSecond))), all);
	}

	/**
	 * Returns whether the gateway has a part in the rate.
	 * @return whether it may send requests regularly
	 */
	boolean isIncluded() {
		return this.rank < this.included;
	}

}
