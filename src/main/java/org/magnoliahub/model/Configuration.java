package org.magnoliahub.model;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One version of the configuration that operators declare.
 *
 * @param version the version, 0 before the first committed change
 * @param pipelines pipelines by name
 * @param requestClasses request classes by name
 * @param endpoints endpoints by name
 * @param workspaces workspaces by name
 */
public record Configuration(long version, Map<String, PipelineDefinition> pipelines,
		Map<String, RequestClass> requestClasses, Map<String, Endpoint> endpoints, Map<String, Workspace> workspaces) {

	/**
	 * Checks the version and copies the maps.
	 * @throws IllegalArgumentException if the version is negative
	 */
	public Configuration {
		Arguments.requireRange(version, 0, Long.MAX_VALUE, "configuration version");
		pipelines = Map.copyOf(pipelines);
		requestClasses = Map.copyOf(requestClasses);
		endpoints = Map.copyOf(endpoints);
		workspaces = Map.copyOf(workspaces);
	}

	/**
	 * Returns the configuration that applies before the first committed change.
	 * @return an empty configuration at version 0
	 */
	public static Configuration empty() {
		return new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of());
	}

	/**
	 * Creates a configuration from lists.
	 * @param version the version, at least 0
	 * @param pipelines pipelines with distinct names
	 * @param requestClasses request classes with distinct names
	 * @param endpoints endpoints with distinct names
	 * @param workspaces workspaces with distinct names
	 * @return the configuration
	 * @throws IllegalStateException if a name occurs twice
	 */
	public static Configuration of(long version, List<PipelineDefinition> pipelines, List<RequestClass> requestClasses,
			List<Endpoint> endpoints, List<Workspace> workspaces) {
		return new Configuration(version, indexByName(pipelines, PipelineDefinition::name),
				indexByName(requestClasses, RequestClass::name), indexByName(endpoints, Endpoint::name),
				indexByName(workspaces, Workspace::name));
	}

	private static <T> Map<String, T> indexByName(List<T> items, Function<T, String> name) {
		return items.stream().collect(Collectors.toUnmodifiableMap(name, Function.identity()));
	}

	/**
	 * Finds the pipeline of a request class.
	 * @param requestClass the request class
	 * @return the pipeline, empty if it is not declared
	 */
	public Optional<PipelineDefinition> pipelineOf(RequestClass requestClass) {
		return Optional.ofNullable(this.pipelines.get(requestClass.pipeline()));
	}

	/**
	 * Lists the endpoints of a pool.
	 * @param pool the pool's name
	 * @return the endpoints of the pool, sorted by name, possibly none
	 */
	public List<Endpoint> endpointsOf(String pool) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.pool().equals(pool))
			.sorted((left, right) -> left.name().compareTo(right.name()))
			.toList();
	}

}
