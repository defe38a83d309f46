package org.magnoliahub.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import net.openhft.hashing.LongHashFunction;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Endpoint;

/**
 * Chooses the subset of the endpoints of a pool that one gateway uses.
 */
public final class EndpointSubset {

	/** Maximum number of endpoints per pool that a gateway uses. */
	public static final int MAXIMUM_SIZE = 16;

	/**
	 * Number of endpoints in the zone of the gateway, if other zones have enough. The
	 * rest are in other zones, so that usable endpoints remain when the gateway's zone
	 * fails.
	 */
	private static final int SAME_ZONE_SIZE = 12;

	private static final LongHashFunction HASH = LongHashFunction.xx();

	private EndpointSubset() {
	}

	/**
	 * Chooses endpoints by rendezvous hashing, those in the zone of the gateway first.
	 * @param endpoints the endpoints of one pool
	 * @param gateway name of the gateway
	 * @param zone availability zone of the gateway
	 * @return at most {@value #MAXIMUM_SIZE} endpoints
	 */
	public static List<Endpoint> choose(List<Endpoint> endpoints, String gateway, AvailabilityZone zone) {
		long gatewayHash = HASH.hashChars(gateway);
		List<RankedEndpoint> same = new ArrayList<>();
		List<RankedEndpoint> other = new ArrayList<>();
		for (Endpoint endpoint : endpoints) {
			long weight = HASH.hashLong(gatewayHash ^ HASH.hashChars(endpoint.name()));
			(endpoint.availabilityZone().equals(zone) ? same : other).add(new RankedEndpoint(endpoint, weight));
		}
		Comparator<RankedEndpoint> order = Comparator.comparingLong(RankedEndpoint::weight);
		same.sort(order);
		other.sort(order);
		int otherSize = Math.min(other.size(), MAXIMUM_SIZE - Math.min(same.size(), SAME_ZONE_SIZE));
		int sameSize = Math.min(same.size(), MAXIMUM_SIZE - otherSize);
		List<Endpoint> result = new ArrayList<>(sameSize + otherSize);
		same.subList(0, sameSize).forEach((ranked) -> result.add(ranked.endpoint()));
		other.subList(0, otherSize).forEach((ranked) -> result.add(ranked.endpoint()));
		return result;
	}

	private record RankedEndpoint(Endpoint endpoint, long weight) {
	}

}
