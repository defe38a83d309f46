package org.magnoliahub.declaration;

import java.util.List;

import org.magnoliahub.model.Configuration;

/**
 * What the files of a directory declare.
 *
 * @param configuration the declared items, at version 0; incomplete if there are faults
 * @param faults all faults in order of file and line
 * @param files number of files read
 */
public record Declarations(Configuration configuration, List<DeclarationFault> faults, int files) {

	/**
	 * Copies the list.
	 */
	public Declarations {
		faults = List.copyOf(faults);
	}

}
