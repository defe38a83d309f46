package org.magnoliahub.configuration;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.magnoliahub.model.Arguments;

/**
 * What a process sends to a peer that is behind.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @JsonSubTypes.Type(value = ConfigurationChange.class, name = "change"),
		@JsonSubTypes.Type(value = ConfigurationUpdate.SnapshotPart.class, name = "snapshot_part") })
public sealed interface ConfigurationUpdate permits ConfigurationChange, ConfigurationUpdate.SnapshotPart {

	/**
	 * Returns the version that the update leads to.
	 * @return the version, at least 1
	 */
	long version();

	/**
	 * One part of the whole content at a version, for peers that are too far behind for
	 * changes. The split is a function of the content, so that parts from different peers
	 * fit together.
	 *
	 * @param version the version
	 * @param part number of the part, from 0
	 * @param parts number of parts
	 * @param items the items of this part, as puts
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
