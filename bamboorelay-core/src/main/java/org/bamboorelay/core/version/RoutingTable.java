package org.bamboorelay.core.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.vavr.control.Option;
import org.jspecify.annotations.Nullable;

/**
 * One version of the routes, services and API keys. Keys are kept as hashes only.
 * <p>
 * Immutable and thread-safe.
 */
public final class RoutingTable {

	private final long version;

	private final Map<String, List<RouteRule>> routes;

	private final Map<String, ServiceRule> services;

	private final Map<KeyHash, Workspace> keys;

	private final Map<String, Integer> workspacePriorities = new HashMap<>();

	private final boolean hasPriorities;

	private final boolean keysRequired;

	private final CallerLimits limits;

	private RoutingTable(long version, Map<String, List<RouteRule>> routes, Map<String, ServiceRule> services,
			Map<KeyHash, Workspace> keys, boolean keysRequired, CallerLimits limits) {
		this.version = version;
		this.routes = routes;
		this.services = services;
		this.keys = keys;
		keys.values()
			.stream()
			.filter((workspace) -> workspace.priority() >= 0)
			.forEach((workspace) -> this.workspacePriorities.put(workspace.name(), workspace.priority()));
		this.hasPriorities = !this.workspacePriorities.isEmpty()
				|| routes.values().stream().flatMap(List::stream).anyMatch((rule) -> rule.priority() != 0);
		this.keysRequired = keysRequired;
		this.limits = limits;
	}

	/**
	 * Creates a table.
	 * @param version the version, which increases with each change
	 * @param routes the routes
	 * @param services the services
	 * @param keys the workspace of each API key
	 * @param keysRequired whether requests to routes that are not open need an API key
	 * @param limits the limits for callers
	 * @return the table
	 */
	public static RoutingTable of(long version, Collection<RouteRule> routes, Collection<ServiceRule> services,
			Map<KeyHash, Workspace> keys, boolean keysRequired, CallerLimits limits) {
		Map<String, List<RouteRule>> byHost = new HashMap<>();
		routes.forEach(
				(route) -> byHost.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), (unused) -> new ArrayList<>())
					.add(route));
		byHost.values()
			.forEach((list) -> list
				.sort(Comparator.comparingInt((RouteRule route) -> route.pathPrefix().length()).reversed()));
		Map<String, ServiceRule> byName = new HashMap<>();
		services.forEach((service) -> byName.put(service.name(), service));
		return new RoutingTable(version, byHost, byName, Map.copyOf(keys), keysRequired, limits);
	}

	/**
	 * Returns the version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns whether there is a route with a name.
	 * @param name the name of the route
	 * @return whether a route has the name
	 */
	public boolean hasRoute(String name) {
		return this.routes.values().stream().flatMap(List::stream).anyMatch((route) -> route.name().equals(name));
	}

	/**
	 * Returns the limits for callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the services.
	 * @return the services
	 */
	public Collection<ServiceRule> services() {
		return this.services.values();
	}

	/**
	 * Returns a service by name.
	 * @param name the name
	 * @return the service, or none if it does not exist
	 */
	public Option<ServiceRule> service(String name) {
		return Option.of(this.services.get(name));
	}

	/**
	 * Returns the route of a request: among the routes of its host, the one with the
	 * longest matching path prefix.
	 * @param host the host name, with or without a port
	 * @param path the path, with or without a query
	 * @return the route, or none if no route matches
	 */
	public Option<RouteRule> route(String host, String path) {
		String name = host.toLowerCase(Locale.ROOT);
		int colon = name.indexOf(':');
		int query = path.indexOf('?');
		String pathWithoutQuery = (query < 0) ? path : path.substring(0, query);
		List<RouteRule> rules = this.routes.getOrDefault((colon < 0) ? name : name.substring(0, colon), List.of());
		return Option
			.ofOptional(rules.stream().filter((rule) -> pathWithoutQuery.startsWith(rule.pathPrefix())).findFirst());
	}

	/**
	 * Returns the routes of a host that accept submissions.
	 * @param host the host name, with or without a port
	 * @return the submission routes
	 */
	public List<RouteRule> submissionRoutes(String host) {
		String name = host.toLowerCase(Locale.ROOT);
		int colon = name.indexOf(':');
		return this.routes.getOrDefault((colon < 0) ? name : name.substring(0, colon), List.of())
			.stream()
			.filter((rule) -> rule.kind() == RouteKind.SUBMISSION)
			.toList();
	}

	/**
	 * Returns whether requests to routes that are not open need an API key.
	 * @return true if API keys are required
	 */
	public boolean requiresKeys() {
		return this.keysRequired;
	}

	/**
	 * Returns the workspace of an API key.
	 * @param key the hash of the key
	 * @return the workspace, or none if the key is unknown
	 */
	public Option<Workspace> workspace(KeyHash key) {
		return Option.of(this.keys.get(key));
	}

	/**
	 * Returns the priority of a request: that of its workspace, or else that of its
	 * route.
	 * @param host the host name, with or without a port
	 * @param path the path, with or without a query
	 * @param workspace the workspace; null for none
	 * @return the priority; 0 is the highest, and the one of a request without a route
	 */
	public int priority(String host, String path, @Nullable String workspace) {
		Integer own = (workspace != null) ? this.workspacePriorities.get(workspace) : null;
		return (own != null) ? own : route(host, path).map(RouteRule::priority).getOrElse(0);
	}

	/**
	 * Returns whether the routes or the workspaces differ in their priority.
	 * @return true if a workspace has a priority, or a route one other than 0
	 */
	public boolean hasPriorities() {
		return this.hasPriorities;
	}

	/**
	 * Routing attributes of a workspace.
	 *
	 * @param name name of the workspace
	 * @param priority priority of its requests, which overrides that of the route; -1 if
	 * it has none
	 */
	public record Workspace(String name, int priority) {
	}

}
