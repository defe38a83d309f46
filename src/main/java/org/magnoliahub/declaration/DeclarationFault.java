package org.magnoliahub.declaration;

/**
 * A syntax or validation error in a declaration file.
 *
 * @param location file and line of the fault
 * @param message what was expected, what was found and how to correct it
 */
public record DeclarationFault(SourceLocation location, String message) {

	@Override
	public String toString() {
		return this.location + ": " + this.message;
	}

}
