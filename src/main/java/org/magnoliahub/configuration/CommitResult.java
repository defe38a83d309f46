package org.magnoliahub.configuration;

import java.util.List;

/**
 * Answer to a commit. Every answer is on record in the audit trail when it is returned.
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
	 * Another change was accepted on the same base version; this one never will be.
	 *
	 * @param headVersion the newest version
	 * @param changesSinceBase what changed since the base version, oldest first, at most
	 * {@value ConfigurationRepository#MAXIMUM_CHANGES} changes
	 */
	record Conflict(long headVersion, List<ConfigurationChange> changesSinceBase) implements CommitResult {

		public Conflict {
			changesSinceBase = List.copyOf(changesSinceBase);
		}

	}

	/**
	 * The resulting configuration would be faulty.
	 *
	 * @param faults all faults
	 */
	record Invalid(List<ConfigurationFault> faults) implements CommitResult {

		public Invalid {
			faults = List.copyOf(faults);
		}

	}

	/**
	 * The id belongs to an accepted change with another effect.
	 *
	 * @param version the version that the other change created
	 */
	record IdReused(long version) implements CommitResult {
	}

	/**
	 * The change is too large for one commit.
	 *
	 * @param characters size of its JSON form
	 */
	record TooLarge(int characters) implements CommitResult {
	}

}
