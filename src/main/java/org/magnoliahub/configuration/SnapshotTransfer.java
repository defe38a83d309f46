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
 * Splits a configuration into parts that fit into one message each, and joins parts.
 */
final class SnapshotTransfer {

	/**
	 * Items per part on average. An item has at most about 500 characters in JSON form,
	 * so that a part fits into one message of 1 MiB.
	 */
	private static final int ITEMS_PER_PART = 500;

	private long version;

	private int parts;

	private final Map<Integer, List<ItemChange>> received = new TreeMap<>();

	private SnapshotTransfer() {
	}

	static SnapshotTransfer create() {
		return new SnapshotTransfer();
	}

	/**
	 * Returns the number of parts of a configuration.
	 * @param configuration the configuration
	 * @return the number, which depends on nothing but the content
	 */
	static int parts(Configuration configuration) {
		int items = configuration.pipelines().size() * PipelineDefinition.MAXIMUM_STAGES
				+ configuration.requestClasses().size() + configuration.endpoints().size()
				+ configuration.workspaces().size();
		return 1 + items / ITEMS_PER_PART;
	}

	/**
	 * Builds one part. Items are distributed by the hash of their names, so that no part
	 * needs the whole content to be sorted or encoded, which takes up to 500 ms at target
	 * size.
	 * @param configuration the configuration
	 * @param part number of the part, from 0
	 * @return the part
	 */
	static ConfigurationUpdate.SnapshotPart part(Configuration configuration, int part) {
		int parts = parts(configuration);
		List<ItemChange> items = new ArrayList<>();
		collect(configuration.pipelines(), part, parts, ItemChange.PutPipeline::new, items);
		collect(configuration.requestClasses(), part, parts, ItemChange.PutRequestClass::new, items);
		collect(configuration.endpoints(), part, parts, ItemChange.PutEndpoint::new, items);
		collect(configuration.workspaces(), part, parts, ItemChange.PutWorkspace::new, items);
		return new ConfigurationUpdate.SnapshotPart(configuration.version(), part, parts, items);
	}

	private static <T> void collect(Map<String, T> all, int part, int parts, Function<T, ItemChange> put,
			List<ItemChange> items) {
		all.forEach((name, item) -> {
			if (Math.floorMod(name.hashCode(), parts) == part) {
				items.add(put.apply(item));
			}
		});
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
