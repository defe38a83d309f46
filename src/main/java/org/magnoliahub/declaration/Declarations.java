package org.magnoliahub.declaration;

import java.util.List;

import org.magnoliahub.model.Configuration;

/**
 * Result of reading the declaration files of a directory.
 *
 * @param configuration the declared items, with version 0; may be incomplete if there are
 * faults
 * @param faults all faults, sorted by file and line
 * @param fileCount number of declaration files found
 */
public record Declarations(Configuration configuration, List<DeclarationFault> faults, int fileCount) {

	/**
	 * Makes an immutable copy of the faults.
	 */
	public Declarations {
		faults = List.copyOf(faults);
	}

}
