package org.magnoliahub.model;

/**
 * A back end, reached through the agent that runs next to it.
 *
 * @param name the endpoint's name, unique in a configuration, not blank
 * @param pool name of the pool of interchangeable endpoints to which it belongs, not
 * blank
 * @param availabilityZone the zone it runs in
 * @param agentAddress host and port of its agent, {@code host:port}
 * @param authenticatesCommands whether the back end itself authenticates the sender of a
 * control command
 * @param priceFactor price of one second at this endpoint relative to the price of the
 * stage, positive
 * @param draining whether the endpoint accepts no new work and finishes the work it has
 */
public record Endpoint(String name, String pool, AvailabilityZone availabilityZone, String agentAddress,
		boolean authenticatesCommands, double priceFactor, boolean draining) {

	/**
	 * Checks the texts and the price.
	 * @throws IllegalArgumentException if a text is blank or the price factor is not
	 * positive
	 */
	public Endpoint {
		Arguments.requireText(name, "endpoint name");
		Arguments.requireText(pool, "pool of endpoint " + name);
		Arguments.requireText(agentAddress, "agent address of endpoint " + name);
		if (!(priceFactor > 0)) {
			throw new IllegalArgumentException(
					"price factor of endpoint " + name + " must be positive, but was " + priceFactor);
		}
	}

	/**
	 * Creates an endpoint with price factor 1 that accepts work.
	 * @param name the endpoint's name, not blank
	 * @param pool name of its pool, not blank
	 * @param availabilityZone the zone it runs in
	 * @param agentAddress host and port of its agent
	 * @param authenticatesCommands whether the back end itself authenticates the sender
	 * of a control command
	 */
	public Endpoint(String name, String pool, AvailabilityZone availabilityZone, String agentAddress,
			boolean authenticatesCommands) {
		this(name, pool, availabilityZone, agentAddress, authenticatesCommands, 1.0);
	}

	/**
	 * Creates an endpoint that accepts work.
	 * @param name the endpoint's name, not blank
	 * @param pool name of its pool, not blank
	 * @param availabilityZone the zone it runs in
	 * @param agentAddress host and port of its agent
	 * @param authenticatesCommands whether the back end itself authenticates the sender
	 * of a control command
	 * @param priceFactor price of one second relative to the price of the stage, positive
	 */
	public Endpoint(String name, String pool, AvailabilityZone availabilityZone, String agentAddress,
			boolean authenticatesCommands, double priceFactor) {
		this(name, pool, availabilityZone, agentAddress, authenticatesCommands, priceFactor, false);
	}

	/**
	 * Returns a copy of this endpoint with another draining state.
	 * @param value whether the copy is draining
	 * @return the copy
	 */
	public Endpoint withDraining(boolean value) {
		return new Endpoint(this.name, this.pool, this.availabilityZone, this.agentAddress, this.authenticatesCommands,
				this.priceFactor, value);
	}

}
