package org.magnoliahub.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the operator's configuration. Instances are immutable.
 */
public final class ServingConfiguration {

	private final long version;

	private final Map<String, HostRoutes> routesByHost;

	private final Map<String, ServiceDefinition> services;

	private final CallerLimits limits;

	private final boolean keysRequired;

	private final Map<String, WorkspaceKey> keys;

	private ServingConfiguration(long version, Map<String, HostRoutes> routesByHost,
			Map<String, ServiceDefinition> services, CallerLimits limits, boolean keysRequired,
			Map<String, WorkspaceKey> keys) {
		this.version = version;
		this.routesByHost = routesByHost;
		this.services = services;
		this.limits = limits;
		this.keysRequired = keysRequired;
		this.keys = keys;
	}

	/**
	 * Creates a configuration.
	 * @param version version number, which increases with each change
	 * @param routes all routes
	 * @param services all services
	 * @param limits limits on callers
	 * @param keysRequired whether routes that are not anonymous require an API key
	 * @param keys workspaces by API key
	 * @return the configuration
	 */
	public static ServingConfiguration of(long version, List<Route> routes, List<ServiceDefinition> services,
			CallerLimits limits, boolean keysRequired, Map<String, WorkspaceKey> keys) {
		Map<String, HostRoutes> routesByHost = new HashMap<>();
		for (Route route : routes) {
			routesByHost.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), (host) -> new HostRoutes()).add(route);
		}
		Map<String, ServiceDefinition> servicesByName = new HashMap<>();
		for (ServiceDefinition service : services) {
			servicesByName.put(service.name(), service);
		}
		return new ServingConfiguration(version, routesByHost, servicesByName, limits, keysRequired, Map.copyOf(keys));
	}

	/**
	 * Returns the version.
	 * @return version number, which increases with each change
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits on callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Finds the route of a host with the longest prefix that matches a path.
	 * @param host value of the Host header, with or without a port
	 * @param target request target, with or without a query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> route(String host, String target) {
		int colon = host.lastIndexOf(':');
		String name = ((colon >= 0) ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
		int query = target.indexOf('?');
		String path = (query >= 0) ? target.substring(0, query) : target;
		HostRoutes routes = this.routesByHost.get(name);
		return (routes != null) ? Optional.ofNullable(routes.longestMatch(path)) : Optional.empty();
	}

	/**
	 * Finds a service.
	 * @param name name of the service
	 * @return the service, or empty if it is not configured
	 */
	public Optional<ServiceDefinition> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns all services.
	 * @return services in no particular order
	 */
	public Iterable<ServiceDefinition> services() {
		return this.services.values();
	}

	/**
	 * Returns whether routes that are not anonymous require an API key.
	 * @return whether workspaces are configured
	 */
	public boolean keysRequired() {
		return this.keysRequired;
	}

	/**
	 * Finds the workspace that an API key belongs to.
	 * @param key the API key
	 * @return the workspace, or empty if the key is unknown
	 */
	public Optional<WorkspaceKey> workspace(String key) {
		return Optional.ofNullable(this.keys.get(key));
	}

}
