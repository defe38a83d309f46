package org.magnoliahub.soak;

/**
 * A fault at a set time.
 *
 * @param kind what happens
 * @param startMillis its start, from the start of the load, in milliseconds
 * @param lengthMillis how long it lasts, in milliseconds
 * @param target which of the gateways or endpoints it meets; more than there are wrap
 * around
 */
record PlannedFault(FaultKind kind, long startMillis, long lengthMillis, int target) {

	long endMillis() {
		return this.startMillis + this.lengthMillis;
	}

}
