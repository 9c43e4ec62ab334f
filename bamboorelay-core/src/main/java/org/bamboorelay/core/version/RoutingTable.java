package org.bamboorelay.core.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.vavr.control.Option;

/**
 * One version of the routes, services and keys. Keys are held as hashes only.
 * <p>
 * Immutable and thread-safe.
 */
public final class RoutingTable {

	private final long version;

	private final Map<String, List<RouteRule>> routes;

	private final Map<String, ServiceRule> services;

	private final Map<KeyHash, Workspace> keys;

	private final boolean keyed;

	private final CallerLimits limits;

	private RoutingTable(long version, Map<String, List<RouteRule>> routes, Map<String, ServiceRule> services,
			Map<KeyHash, Workspace> keys, boolean keyed, CallerLimits limits) {
		this.version = version;
		this.routes = routes;
		this.services = services;
		this.keys = keys;
		this.keyed = keyed;
		this.limits = limits;
	}

	/**
	 * Creates a table.
	 * @param version the version, which rises with each change
	 * @param routes the routes
	 * @param services the services
	 * @param keys the workspace of each key
	 * @param keyed whether closed routes need a key
	 * @param limits the limits on callers
	 * @return the table
	 */
	public static RoutingTable of(long version, Collection<RouteRule> routes, Collection<ServiceRule> services,
			Map<KeyHash, Workspace> keys, boolean keyed, CallerLimits limits) {
		Map<String, List<RouteRule>> byHost = new HashMap<>();
		routes.forEach(
				(route) -> byHost.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), (unused) -> new ArrayList<>())
					.add(route));
		byHost.values()
			.forEach((list) -> list
				.sort(Comparator.comparingInt((RouteRule route) -> route.pathPrefix().length()).reversed()));
		Map<String, ServiceRule> byName = new HashMap<>();
		services.forEach((service) -> byName.put(service.name(), service));
		return new RoutingTable(version, byHost, byName, Map.copyOf(keys), keyed, limits);
	}

	/**
	 * Returns the version.
	 * @return the version
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
	 * Returns the services.
	 * @return the services
	 */
	public Collection<ServiceRule> services() {
		return this.services.values();
	}

	/**
	 * Finds a service.
	 * @param name the name
	 * @return the service, or nothing
	 */
	public Option<ServiceRule> service(String name) {
		return Option.of(this.services.get(name));
	}

	/**
	 * Finds the route of a request: of the routes of its host, the one with the longest
	 * prefix of its path.
	 * @param host the host name, with or without a port
	 * @param path the path, with or without a query
	 * @return the route, or nothing
	 */
	public Option<RouteRule> route(String host, String path) {
		String name = host.toLowerCase(Locale.ROOT);
		int colon = name.indexOf(':');
		int query = path.indexOf('?');
		String plain = (query < 0) ? path : path.substring(0, query);
		List<RouteRule> rules = this.routes.getOrDefault((colon < 0) ? name : name.substring(0, colon), List.of());
		return Option.ofOptional(rules.stream().filter((rule) -> plain.startsWith(rule.pathPrefix())).findFirst());
	}

	/**
	 * Finds the routes that take submissions.
	 * @param host the host name, with or without a port
	 * @return the routes of the host that take submissions
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
	 * Tells whether closed routes need a key.
	 * @return whether the table has workspaces
	 */
	public boolean isKeyed() {
		return this.keyed;
	}

	/**
	 * Finds the workspace of a key.
	 * @param key the hash of the key
	 * @return the workspace, or nothing where no workspace has the key
	 */
	public Option<Workspace> workspace(KeyHash key) {
		return Option.of(this.keys.get(key));
	}

	/**
	 * A workspace as the routes know it.
	 *
	 * @param name the workspace
	 * @param priority its rank, which goes before the route's; -1 where it has none
	 */
	public record Workspace(String name, int priority) {
	}

}
