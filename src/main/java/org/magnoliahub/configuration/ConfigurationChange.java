package org.magnoliahub.configuration;

import java.time.Instant;
import java.util.List;

import org.magnoliahub.model.Arguments;

/**
 * Set of item changes that turns one configuration version into the next.
 *
 * @param id unique id chosen by the author's program, at most {@value #MAXIMUM_ID_LENGTH}
 * characters; a retried commit uses the same id
 * @param baseVersion version on which the change is based
 * @param version the resulting version, always {@code baseVersion + 1}
 * @param author author of the change, not blank
 * @param time wall-clock time at the author, for information only
 * @param comment reason for the change, possibly empty
 * @param items the item changes, at least one
 */
public record ConfigurationChange(String id, long baseVersion, long version, String author, Instant time,
		String comment, List<ItemChange> items) implements ConfigurationUpdate {

	/** Maximum length of an id, in characters. */
	public static final int MAXIMUM_ID_LENGTH = 64;

	/** Maximum length of the comment and of the author, in characters. */
	public static final int MAXIMUM_TEXT_LENGTH = 1_000;

	/**
	 * Validates all components and makes an immutable copy of the list.
	 * @throws IllegalArgumentException if a component is out of range
	 */
	public ConfigurationChange {
		Arguments.requireText(id, "change id");
		Arguments.requireRange(id.length(), 1, MAXIMUM_ID_LENGTH, "length of change id");
		Arguments.requireRange(baseVersion, 0, Long.MAX_VALUE - 1, "base version");
		Arguments.requireRange(version, baseVersion + 1, baseVersion + 1, "version of change " + id);
		Arguments.requireText(author, "author of change " + id);
		Arguments.requireRange(author.length(), 1, MAXIMUM_TEXT_LENGTH, "length of the author");
		Arguments.requireRange(time.toEpochMilli(), 0, Long.MAX_VALUE, "time of change " + id);
		Arguments.requireRange(comment.length(), 0, MAXIMUM_TEXT_LENGTH, "length of the comment");
		items = List.copyOf(items);
		Arguments.requireRange(items.size(), 1, Integer.MAX_VALUE, "number of items of change " + id);
	}

	/**
	 * Creates a change whose version follows the base version.
	 * @param id unique id
	 * @param baseVersion version on which the change is based
	 * @param author author of the change
	 * @param time wall-clock time at the author
	 * @param comment reason for the change, possibly empty
	 * @param items the item changes, at least one
	 * @return the change
	 * @throws IllegalArgumentException if a component is out of range
	 */
	public static ConfigurationChange of(String id, long baseVersion, String author, Instant time, String comment,
			List<ItemChange> items) {
		return new ConfigurationChange(id, baseVersion, baseVersion + 1, author, time, comment, items);
	}

	/**
	 * Returns whether another change has the same base version and items. Author, time
	 * and comment are ignored because they may differ when a commit is retried.
	 * @param other the other change
	 * @return whether base version and items are equal
	 */
	public boolean hasSameEffectAs(ConfigurationChange other) {
		return this.baseVersion == other.baseVersion && this.items.equals(other.items);
	}

}
