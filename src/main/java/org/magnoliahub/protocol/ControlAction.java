package org.magnoliahub.protocol;

/**
 * Action that a control command requests from a model engine.
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
