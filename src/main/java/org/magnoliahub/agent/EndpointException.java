package org.magnoliahub.agent;

/**
 * Signals that a call to a back end failed.
 */
public final class EndpointException extends Exception {

	private static final long serialVersionUID = 1L;

	private final boolean effectPossible;

	/**
	 * Creates the exception.
	 * @param message description of the failure
	 * @param effectPossible whether the call may have run at the back end
	 */
	public EndpointException(String message, boolean effectPossible) {
		super(message);
		this.effectPossible = effectPossible;
	}

	/**
	 * Returns whether the call may have run at the back end.
	 * @return {@code false} only if the call certainly did not run, for example because
	 * the connection was refused
	 */
	public boolean isEffectPossible() {
		return this.effectPossible;
	}

}
