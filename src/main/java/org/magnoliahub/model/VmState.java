package org.magnoliahub.model;

/**
 * State of a {@link Vm} in the platform's inventory.
 */
public enum VmState {

	/** The VM is in service. */
	LIVE,

	/** The VM is about to be removed. */
	LEAVING

}
