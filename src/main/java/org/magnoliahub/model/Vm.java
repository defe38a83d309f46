package org.magnoliahub.model;

/**
 * A virtual machine in the inventory of the platform.
 *
 * @param name the VM's name, not blank
 * @param availabilityZone the zone it runs in
 * @param address host and port at which its process listens, {@code host:port}
 * @param state whether it is in service or about to be removed
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
