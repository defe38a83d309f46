package org.magnoliahub.model;

/**
 * What a stage does, which decides the form of the call to the back end.
 */
public enum StageType {

	/** Computes an embedding of the input. */
	ENCODE,

	/** Retrieves documents for the input. */
	RETRIEVE,

	/** Reorders retrieved documents. */
	RERANK,

	/** Generates text as a stream of tokens. */
	GENERATE,

	/** Calls a plain service. */
	SERVICE

}
