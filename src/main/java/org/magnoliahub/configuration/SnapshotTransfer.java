package org.magnoliahub.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.PipelineDefinition;

/**
 * Splits a configuration into parts that fit into one message each, and assembles
 * received parts.
 */
final class SnapshotTransfer {

	/**
	 * Average number of items per part. An item has at most about 500 characters as JSON,
	 * so a part fits into one message of 1 MiB.
	 */
	private static final int ITEMS_PER_PART = 500;

	private long version;

	private int partCount;

	private final Map<Integer, List<ItemChange>> receivedParts = new TreeMap<>();

	private SnapshotTransfer() {
	}

	static SnapshotTransfer create() {
		return new SnapshotTransfer();
	}

	/**
	 * Returns the number of parts of a configuration.
	 * @param configuration the configuration
	 * @return the number of parts, which depends only on the content
	 */
	static int partCount(Configuration configuration) {
		int items = configuration.pipelines().size() * PipelineDefinition.MAXIMUM_STAGES
				+ configuration.requestClasses().size() + configuration.endpoints().size()
				+ configuration.workspaces().size();
		return 1 + items / ITEMS_PER_PART;
	}

	/**
	 * Creates one part. Items are assigned to parts by the hash of their names, which
	 * avoids sorting or encoding the whole content. That takes up to 500 ms at target
	 * size.
	 * @param configuration the configuration
	 * @param part index of the part, from 0
	 * @return the part
	 */
	static ConfigurationUpdate.SnapshotPart createPart(Configuration configuration, int part) {
		int partCount = partCount(configuration);
		List<ItemChange> items = new ArrayList<>();
		collect(configuration.pipelines(), part, partCount, ItemChange.PutPipeline::new, items);
		collect(configuration.requestClasses(), part, partCount, ItemChange.PutRequestClass::new, items);
		collect(configuration.endpoints(), part, partCount, ItemChange.PutEndpoint::new, items);
		collect(configuration.workspaces(), part, partCount, ItemChange.PutWorkspace::new, items);
		return new ConfigurationUpdate.SnapshotPart(configuration.version(), part, partCount, items);
	}

	private static <T> void collect(Map<String, T> all, int part, int partCount, Function<T, ItemChange> put,
			List<ItemChange> items) {
		all.forEach((name, item) -> {
			if (Math.floorMod(name.hashCode(), partCount) == part) {
				items.add(put.apply(item));
			}
		});
	}

	/**
	 * Adds a received part. Parts of a newer version replace those of an older one.
	 * @param part the part
	 * @return the assembled configuration if no part is missing, else empty
	 */
	Optional<Configuration> add(ConfigurationUpdate.SnapshotPart part) {
		if (part.version() < this.version) {
			return Optional.empty();
		}
		if (part.version() > this.version || part.parts() != this.partCount) {
			this.receivedParts.clear();
			this.version = part.version();
			this.partCount = part.parts();
		}
		this.receivedParts.put(part.part(), part.items());
		if (this.receivedParts.size() < this.partCount) {
			return Optional.empty();
		}
		List<ItemChange> items = this.receivedParts.values().stream().flatMap(List::stream).toList();
		this.receivedParts.clear();
		return Optional.of(ConfigurationEdits.apply(Configuration.empty(), this.version, items));
	}

}
