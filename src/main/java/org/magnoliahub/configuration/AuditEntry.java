package org.magnoliahub.configuration;

import java.time.Instant;
import java.util.List;

/**
 * Entry of the audit trail for a configuration change or an operator command.
 *
 * @param time wall-clock time at the author
 * @param changeId id of the change or command
 * @param author author of the change
 * @param comment reason for the change, possibly empty
 * @param baseVersion version on which the change is based
 * @param result result of the change
 * @param version the version that the change created; if it was refused, the newest
 * version at that time
 * @param items summaries of the item changes, at most {@value #MAXIMUM_ITEMS}
 * @param itemCount number of item changes
 * @param faults reasons for the refusal, at most {@value #MAXIMUM_ITEMS}
 */
public record AuditEntry(Instant time, String changeId, String author, String comment, long baseVersion, Result result,
		long version, List<String> items, int itemCount, List<String> faults) {

	/** Maximum number of summaries, and of faults, in one entry. */
	public static final int MAXIMUM_ITEMS = 100;

	/**
	 * Makes immutable copies of the lists.
	 */
	public AuditEntry {
		items = List.copyOf(items);
		faults = List.copyOf(faults);
	}

	/**
	 * Creates an entry for an operator command that does not change the configuration.
	 * @param time wall-clock time
	 * @param id unique id of the command
	 * @param author the operator who issued the command
	 * @param result result of the command
	 * @param command text of the command, without secrets
	 * @param faults reasons for the refusal, empty if the command was not refused
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
	 * Result of a change or command.
	 */
	public enum Result {

		/** The change created a version. */
		ACCEPTED,

		/** Another change was accepted on the same base version. */
		CONFLICT,

		/** The resulting configuration would have been invalid. */
		INVALID,

		/**
		 * The id belongs to an accepted change with another base version or other items.
		 */
		ID_REUSED,

		/** The change exceeded the maximum size of one commit. */
		TOO_LARGE,

		/** An operator replaced an unknown outcome of a request. */
		SETTLED,

		/** An operator's command was refused. */
		REFUSED,

		/** Requests to operator paths were refused for lack of a valid token. */
		UNAUTHENTICATED

	}

}
