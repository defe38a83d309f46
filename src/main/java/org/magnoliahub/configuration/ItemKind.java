package org.magnoliahub.configuration;

/**
 * Kind of a declared item.
 */
public enum ItemKind {

	/** A pipeline with its stages. */
	PIPELINE("pipeline"),

	/** A request class. */
	REQUEST_CLASS("request class"),

	/** An endpoint. */
	ENDPOINT("endpoint"),

	/** A workspace. */
	WORKSPACE("workspace");

	private final String label;

	ItemKind(String label) {
		this.label = label;
	}

	/**
	 * Returns the kind as it appears in messages.
	 * @return lower-case words
	 */
	public String label() {
		return this.label;
	}

}
