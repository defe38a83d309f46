package org.magnoliahub.model;

/**
 * An availability zone of the platform.
 *
 * @param name the zone's name, not blank
 */
public record AvailabilityZone(String name) {

	/**
	 * Checks the name.
	 * @throws IllegalArgumentException if {@code name} is blank
	 */
	public AvailabilityZone {
		Arguments.requireText(name, "availability zone name");
	}

}
