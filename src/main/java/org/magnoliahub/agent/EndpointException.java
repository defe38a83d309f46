package org.magnoliahub.agent;

/**
 * Failure of a call to a back end.
 */
public final class EndpointException extends Exception {

	private static final long serialVersionUID = 1L;

	private final boolean effectPossible;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param effectPossible whether the call may have run at the back end
	 */
	public EndpointException(String message, boolean effectPossible) {
		super(message);
		this.effectPossible = effectPossible;
	}

	/**
	 * Returns whether the call may have run.
	 * @return {@code false} only if it certainly did not, for example because the
	 * connection was refused
	 */
	public boolean isEffectPossible() {
		return this.effectPossible;
	}

}
