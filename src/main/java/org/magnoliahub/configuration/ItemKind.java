package org.magnoliahub.configuration;

/**
 * Kind of a declared item of a configuration.
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
	 * Returns the name of the kind for messages.
	 * @return the name in lower case
	 */
	public String label() {
		return this.label;
	}

}
