package org.magnoliahub.configuration;

import java.time.Instant;
import java.util.List;

/**
 * One row of the audit trail.
 *
 * @param time wall time at the author
 * @param changeId id of the change
 * @param author who made the change
 * @param comment why, possibly empty
 * @param baseVersion the version that the author saw
 * @param result what became of the change
 * @param version the version that resulted or, if refused, the newest version then
 * @param items summaries of the item changes, at most {@value #MAXIMUM_ITEMS}
 * @param itemCount number of item changes
 * @param faults why the change was refused, at most {@value #MAXIMUM_ITEMS}
 */
public record AuditEntry(Instant time, String changeId, String author, String comment, long baseVersion, Result result,
		long version, List<String> items, int itemCount, List<String> faults) {

	/** Most summaries and faults in one row. */
	public static final int MAXIMUM_ITEMS = 100;

	/**
	 * Copies the lists.
	 */
	public AuditEntry {
		items = List.copyOf(items);
		faults = List.copyOf(faults);
	}

	/**
	 * Creates an entry for an operator's command that is no change of the configuration.
	 * @param time wall time
	 * @param id unique id of the command
	 * @param author who gave it
	 * @param result what became of it
	 * @param command the command, without secrets
	 * @param faults why it was refused, possibly none
	 * @return the entry
	 */
	public static AuditEntry ofCommand(Instant time, String id, String author, Result result, String command,
			List<String> faults) {
		return new AuditEntry(time, id, author, "", 0, result, 0, List.of(command), 1, faults);
	}

	static AuditEntry of(ConfigurationChange change, Result result, long version, List<String> faults) {
		return new AuditEntry(change.time(), change.id(), change.author(), change.comment(), change.baseVersion(),
				result, version, change.items().stream().limit(MAXIMUM_ITEMS).map(ItemChange::summary).toList(),
				change.items().size(), faults.stream().limit(MAXIMUM_ITEMS).toList());
	}

	/**
	 * What became of a change.
	 */
	public enum Result {

		/** The change created a version. */
		ACCEPTED,

		/** Another change was accepted on the same base version. */
		CONFLICT,

		/** The resulting configuration would have been faulty. */
		INVALID,

		/** The id belonged to another change. */
		ID_REUSED,

		/** The change was too large for one commit. */
		TOO_LARGE,

		/** An operator decided on an unknown outcome. */
		SETTLED,

		/** An operator's command was refused. */
		REFUSED,

		/** Calls of operator paths without a valid token were refused. */
		UNAUTHENTICATED

	}

}
