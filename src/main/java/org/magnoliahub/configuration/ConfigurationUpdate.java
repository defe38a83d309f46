package org.magnoliahub.configuration;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.magnoliahub.model.Arguments;

/**
 * Update that a process sends to a peer with a lower configuration version.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @JsonSubTypes.Type(value = ConfigurationChange.class, name = "change"),
		@JsonSubTypes.Type(value = ConfigurationUpdate.SnapshotPart.class, name = "snapshot_part") })
public sealed interface ConfigurationUpdate permits ConfigurationChange, ConfigurationUpdate.SnapshotPart {

	/**
	 * Returns the version that results from the update.
	 * @return the version, at least 1
	 */
	long version();

	/**
	 * Part of a snapshot of a version, for peers whose version is too old to be updated
	 * by changes. The split depends only on the content, so parts from different peers
	 * can be combined.
	 *
	 * @param version the version
	 * @param part index of the part, from 0
	 * @param parts number of parts
	 * @param items one put for each item of this part
	 */
	record SnapshotPart(long version, int part, int parts, List<ItemChange> items) implements ConfigurationUpdate {

		public SnapshotPart {
			Arguments.requireRange(version, 1, Long.MAX_VALUE, "version of a snapshot part");
			Arguments.requireRange(parts, 1, 10_000, "number of snapshot parts");
			Arguments.requireRange(part, 0, parts - 1, "snapshot part");
			items = List.copyOf(items);
		}

	}

}
