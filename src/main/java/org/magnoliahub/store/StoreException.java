package org.magnoliahub.store;

/**
 * Failure of a call to the table service or the object store.
 */
public final class StoreException extends Exception {

	private static final long serialVersionUID = 1L;

	private final boolean effectPossible;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param effectPossible whether a write may have taken effect all the same
	 */
	public StoreException(String message, boolean effectPossible) {
		super(message);
		this.effectPossible = effectPossible;
	}

	/**
	 * Returns whether a write may have taken effect.
	 * @return {@code false} only if it certainly did not
	 */
	public boolean isEffectPossible() {
		return this.effectPossible;
	}

}
