package org.magnoliahub.model;

/**
 * A back end, addressed through the agent that runs beside it.
 *
 * @param name the endpoint's name, unique in a configuration, not blank
 * @param pool the pool of interchangeable endpoints that it belongs to, not blank
 * @param availabilityZone the zone it runs in
 * @param agentAddress host and port of its agent, {@code host:port}
 * @param authenticatesCommands whether the back end itself checks who sends it a control
 * command
 */
public record Endpoint(String name, String pool, AvailabilityZone availabilityZone, String agentAddress,
		boolean authenticatesCommands) {

	/**
	 * Checks the texts.
	 * @throws IllegalArgumentException if a text is blank
	 */
	public Endpoint {
		Arguments.requireText(name, "endpoint name");
		Arguments.requireText(pool, "pool of endpoint " + name);
		Arguments.requireText(agentAddress, "agent address of endpoint " + name);
	}

}
