package org.magnoliahub.declaration;

/**
 * A line of a declaration file.
 *
 * @param file path of the file relative to the declaration directory
 * @param line line number, starting at 1
 */
public record SourceLocation(String file, int line) {

	@Override
	public String toString() {
		return this.file + ":" + this.line;
	}

}
