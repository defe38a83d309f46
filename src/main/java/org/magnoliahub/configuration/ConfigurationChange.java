package org.magnoliahub.configuration;

import java.time.Instant;
import java.util.List;

import org.magnoliahub.model.Arguments;

/**
 * A set of item changes that leads from one version to the next.
 *
 * @param id unique id chosen by the author's program, at most {@value #MAXIMUM_ID_LENGTH}
 * characters; a repeated commit carries the same id
 * @param baseVersion the version that the author saw
 * @param version the version that results, always {@code baseVersion + 1}
 * @param author who made the change, not blank
 * @param time wall time at the author, for records only
 * @param comment why, possibly empty
 * @param items the changes, at least one
 */
public record ConfigurationChange(String id, long baseVersion, long version, String author, Instant time,
		String comment, List<ItemChange> items) implements ConfigurationUpdate {

	/** Longest id, in characters. */
	public static final int MAXIMUM_ID_LENGTH = 64;

	/** Longest comment and author, in characters. */
	public static final int MAXIMUM_TEXT_LENGTH = 1_000;

	/**
	 * Checks all components and copies the list.
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
	 * Creates a change on a base version.
	 * @param id unique id
	 * @param baseVersion the version that the author saw
	 * @param author who made the change
	 * @param time wall time at the author
	 * @param comment why, possibly empty
	 * @param items the changes, at least one
	 * @return the change
	 * @throws IllegalArgumentException if a component is out of range
	 */
	public static ConfigurationChange on(String id, long baseVersion, String author, Instant time, String comment,
			List<ItemChange> items) {
		return new ConfigurationChange(id, baseVersion, baseVersion + 1, author, time, comment, items);
	}

	/**
	 * Tells whether another change would have the same effect. Author, time and comment
	 * may differ when a commit is repeated.
	 * @param other the other change
	 * @return whether base version and items are equal
	 */
	public boolean hasSameEffectAs(ConfigurationChange other) {
		return this.baseVersion == other.baseVersion && this.items.equals(other.items);
	}

}
