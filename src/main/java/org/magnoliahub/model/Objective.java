package org.magnoliahub.model;

/**
 * Primary optimization goal of a request class, set by its owner.
 */
public enum Objective {

	/** Complete as many requests as possible within their deadlines. */
	ATTAINMENT,

	/** Reduce the cost of each stage as long as deadlines are met. */
	COST

}
