package org.magnoliahub.protocol;

/**
 * What a control command asks of a model engine.
 */
public enum ControlAction {

	/** Load a model. */
	LOAD_MODEL,

	/** Unload a model. */
	UNLOAD_MODEL,

	/** Load an adapter. */
	LOAD_ADAPTER,

	/** Unload an adapter. */
	UNLOAD_ADAPTER

}
