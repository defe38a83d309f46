package org.magnoliahub.model;

/**
 * Type of a stage, which determines the format of the call to the back end.
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

	/** Calls a service that is not a model. */
	SERVICE

}
