package org.magnoliahub.balancing;

/**
 * What a gateway knows of a server that may get a request.
 *
 * @param slots number of requests that the server can process concurrently
 * @param speed speed of the server relative to the others
 * @param ownRequests requests of this gateway at the server
 * @param otherRequests requests of other gateways at the server, as last reported
 * @param ageMillis age of the report, in milliseconds; {@link #NO_REPORT} if there is
 * none
 * @param recentlySent requests that this gateway sent to the server, each with a weight
 * that decreases with its age
 * @param costMillis expected time to a response without the effect of the load, in
 * milliseconds
 */
public record Candidate(int slots, double speed, int ownRequests, double otherRequests, long ageMillis,
		double recentlySent, double costMillis) {

	/** Age of a report that has never been received, in milliseconds. */
	public static final long NO_REPORT = 3_600_000;

	double capacity() {
		return this.slots * this.speed;
	}

}
