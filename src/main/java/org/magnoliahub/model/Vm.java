package org.magnoliahub.model;

/**
 * A VM as the platform's inventory lists it.
 *
 * @param name the VM's name, not blank
 * @param availabilityZone the zone it runs in
 * @param address host and port of the process of interest on it, {@code host:port}
 * @param state whether it is live or leaving
 */
public record Vm(String name, AvailabilityZone availabilityZone, String address, VmState state) {

	/**
	 * Checks the name and the address.
	 * @throws IllegalArgumentException if {@code name} or {@code address} is blank
	 */
	public Vm {
		Arguments.requireText(name, "VM name");
		Arguments.requireText(address, "VM address");
	}

}
