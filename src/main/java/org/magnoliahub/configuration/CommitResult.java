package org.magnoliahub.configuration;

import java.util.List;

/**
 * Result of a commit. It is written to the audit trail before it is returned.
 */
public sealed interface CommitResult {

	/**
	 * The change is part of the configuration.
	 *
	 * @param version the version that it created
	 */
	record Accepted(long version) implements CommitResult {
	}

	/**
	 * Another change was accepted on the same base version, so this one can never be
	 * accepted.
	 *
	 * @param headVersion the newest version
	 * @param changesSinceBase changes accepted since the base version, oldest first, at
	 * most {@value ConfigurationRepository#MAXIMUM_CHANGES_PER_READ}
	 */
	record Conflict(long headVersion, List<ConfigurationChange> changesSinceBase) implements CommitResult {

		public Conflict {
			changesSinceBase = List.copyOf(changesSinceBase);
		}

	}

	/**
	 * The resulting configuration would be invalid.
	 *
	 * @param faults all faults found
	 */
	record Invalid(List<ConfigurationFault> faults) implements CommitResult {

		public Invalid {
			faults = List.copyOf(faults);
		}

	}

	/**
	 * The id belongs to an accepted change with a different base version or different
	 * items.
	 *
	 * @param version the version that the other change created
	 */
	record IdReused(long version) implements CommitResult {
	}

	/**
	 * The change exceeds {@value ConfigurationRepository#MAXIMUM_CHANGE_CHARACTERS}
	 * characters.
	 *
	 * @param characters size of its JSON form
	 */
	record TooLarge(int characters) implements CommitResult {
	}

}
