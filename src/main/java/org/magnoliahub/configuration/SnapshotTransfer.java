package org.magnoliahub.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.magnoliahub.model.Configuration;

/**
 * Splits a configuration into parts that fit into one message each, and joins parts.
 */
final class SnapshotTransfer {

	/** Half of the size of a message, because the length of an item is an estimate. */
	private static final int PART_CHARACTERS = ConfigurationRepository.MAXIMUM_CHARACTERS / 2;

	/** Field names in the JSON form of an item that its text form lacks. */
	private static final int ITEM_OVERHEAD_CHARACTERS = 100;

	private long version;

	private int parts;

	private final Map<Integer, List<ItemChange>> received = new TreeMap<>();

	private SnapshotTransfer() {
	}

	static SnapshotTransfer create() {
		return new SnapshotTransfer();
	}

	/**
	 * Splits a configuration. The parts are not encoded yet, because that takes up to 200
	 * ms in all at target size and would delay requests if done at once.
	 * @param configuration the configuration
	 * @return the parts
	 */
	static List<ConfigurationUpdate.SnapshotPart> split(Configuration configuration) {
		List<List<ItemChange>> groups = new ArrayList<>();
		List<ItemChange> group = new ArrayList<>();
		int characters = 0;
		for (ItemChange item : ConfigurationEdits.difference(Configuration.empty(), configuration)) {
			int length = item.toString().length() + ITEM_OVERHEAD_CHARACTERS;
			if (!group.isEmpty() && characters + length > PART_CHARACTERS) {
				groups.add(group);
				group = new ArrayList<>();
				characters = 0;
			}
			group.add(item);
			characters += length;
		}
		groups.add(group);
		List<ConfigurationUpdate.SnapshotPart> result = new ArrayList<>();
		for (int part = 0; part < groups.size(); part++) {
			result.add(new ConfigurationUpdate.SnapshotPart(configuration.version(), part, groups.size(),
					groups.get(part)));
		}
		return result;
	}

	/**
	 * Adds a part. Parts of a newer version replace those of an older one.
	 * @param part the part
	 * @return the configuration if this was the last missing part
	 */
	Optional<Configuration> add(ConfigurationUpdate.SnapshotPart part) {
		if (part.version() < this.version) {
			return Optional.empty();
		}
		if (part.version() > this.version || part.parts() != this.parts) {
			this.received.clear();
			this.version = part.version();
			this.parts = part.parts();
		}
		this.received.put(part.part(), part.items());
		if (this.received.size() < this.parts) {
			return Optional.empty();
		}
		List<ItemChange> items = this.received.values().stream().flatMap(List::stream).toList();
		this.received.clear();
		return Optional.of(ConfigurationEdits.apply(Configuration.empty(), this.version, items));
	}

}
