package org.magnoliahub.declaration;

/**
 * A fault in a declaration file.
 *
 * @param location where it is
 * @param message what was expected, what came and what to do
 */
public record DeclarationFault(SourceLocation location, String message) {

	@Override
	public String toString() {
		return this.location + ": " + this.message;
	}

}
