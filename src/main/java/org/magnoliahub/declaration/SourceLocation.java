package org.magnoliahub.declaration;

/**
 * A place in a declaration file.
 *
 * @param file path of the file relative to the directory
 * @param line line number, from 1
 */
public record SourceLocation(String file, int line) {

	@Override
	public String toString() {
		return this.file + ":" + this.line;
	}

}
