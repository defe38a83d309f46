package org.magnoliahub.model;

/**
 * What the owner of a request class wants most.
 */
public enum Objective {

	/** Meet the deadline of as many requests as possible. */
	ATTAINMENT,

	/** Keep the cost of each stage low while deadlines are met. */
	COST

}
