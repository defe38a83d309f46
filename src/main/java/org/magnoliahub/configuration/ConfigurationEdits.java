package org.magnoliahub.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.Workspace;

/**
 * Applies item changes to a configuration, and computes the changes between two
 * configurations.
 */
public final class ConfigurationEdits {

	private final Map<String, PipelineDefinition> pipelines;

	private final Map<String, RequestClass> requestClasses;

	private final Map<String, Endpoint> endpoints;

	private final Map<String, Workspace> workspaces;

	private ConfigurationEdits(Configuration base) {
		this.pipelines = new HashMap<>(base.pipelines());
		this.requestClasses = new HashMap<>(base.requestClasses());
		this.endpoints = new HashMap<>(base.endpoints());
		this.workspaces = new HashMap<>(base.workspaces());
	}

	/**
	 * Applies item changes in order.
	 * @param base the configuration to start from
	 * @param version version of the resulting configuration
	 * @param items the item changes; removing an absent item has no effect
	 * @return the resulting configuration
	 */
	public static Configuration apply(Configuration base, long version, List<ItemChange> items) {
		ConfigurationEdits edits = new ConfigurationEdits(base);
		items.forEach(edits::apply);
		return edits.toConfiguration(version);
	}

	/**
	 * Applies changes of consecutive versions.
	 * @param base the configuration to start from
	 * @param changes the changes, the first of which is based on the version of the given
	 * configuration
	 * @return the configuration after the last change
	 * @throws IllegalArgumentException if a change is not based on the version before it
	 */
	public static Configuration applyAll(Configuration base, List<ConfigurationChange> changes) {
		if (changes.isEmpty()) {
			return base;
		}
		ConfigurationEdits edits = new ConfigurationEdits(base);
		long version = base.version();
		for (ConfigurationChange change : changes) {
			if (change.baseVersion() != version) {
				throw new IllegalArgumentException("expected a change based on version " + version
						+ ", but got one based on " + change.baseVersion());
			}
			change.items().forEach(edits::apply);
			version = change.version();
		}
		return edits.toConfiguration(version);
	}

	/**
	 * Computes the item changes that turn one configuration into another.
	 * @param from the configuration to start from
	 * @param to the target configuration
	 * @return removals and puts, ordered by kind and name, possibly empty
	 */
	public static List<ItemChange> difference(Configuration from, Configuration to) {
		List<ItemChange> items = new ArrayList<>();
		collect(items, ItemKind.PIPELINE, from.pipelines(), to.pipelines(), ItemChange.PutPipeline::new);
		collect(items, ItemKind.REQUEST_CLASS, from.requestClasses(), to.requestClasses(),
				ItemChange.PutRequestClass::new);
		collect(items, ItemKind.ENDPOINT, from.endpoints(), to.endpoints(), ItemChange.PutEndpoint::new);
		collect(items, ItemKind.WORKSPACE, from.workspaces(), to.workspaces(), ItemChange.PutWorkspace::new);
		items.sort(Comparator.comparing(ItemChange::kind).thenComparing(ItemChange::name));
		return items;
	}

	private static <T> void collect(List<ItemChange> items, ItemKind kind, Map<String, T> from, Map<String, T> to,
			Function<T, ItemChange> put) {
		from.keySet()
			.stream()
			.filter((name) -> !to.containsKey(name))
			.forEach((name) -> items.add(new ItemChange.Remove(kind, name)));
		to.forEach((name, item) -> {
			if (!item.equals(from.get(name))) {
				items.add(put.apply(item));
			}
		});
	}

	private void apply(ItemChange item) {
		if (item instanceof ItemChange.PutPipeline put) {
			this.pipelines.put(put.name(), put.pipeline());
		}
		else if (item instanceof ItemChange.PutRequestClass put) {
			this.requestClasses.put(put.name(), put.requestClass());
		}
		else if (item instanceof ItemChange.PutEndpoint put) {
			this.endpoints.put(put.name(), put.endpoint());
		}
		else if (item instanceof ItemChange.PutWorkspace put) {
			this.workspaces.put(put.name(), put.workspace());
		}
		else {
			itemsOf(item.kind()).remove(item.name());
		}
	}

	private Map<String, ?> itemsOf(ItemKind kind) {
		return switch (kind) {
			case PIPELINE -> this.pipelines;
			case REQUEST_CLASS -> this.requestClasses;
			case ENDPOINT -> this.endpoints;
			case WORKSPACE -> this.workspaces;
		};
	}

	private Configuration toConfiguration(long version) {
		return new Configuration(version, this.pipelines, this.requestClasses, this.endpoints, this.workspaces);
	}

}
