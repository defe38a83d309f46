package org.magnoliahub.store;

/**
 * Thrown if a call of the table service, the object store or the VM inventory fails.
 */
public final class StoreException extends Exception {

	private static final long serialVersionUID = 1L;

	private final boolean effectPossible;

	/**
	 * Creates the exception.
	 * @param message description of the failure
	 * @param effectPossible whether a write may have taken effect despite the failure
	 */
	public StoreException(String message, boolean effectPossible) {
		super(message);
		this.effectPossible = effectPossible;
	}

	/**
	 * Returns whether a write may have taken effect.
	 * @return {@code false} only if it is certain that it did not
	 */
	public boolean isEffectPossible() {
		return this.effectPossible;
	}

}
