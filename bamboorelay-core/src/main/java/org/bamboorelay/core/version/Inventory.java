package org.bamboorelay.core.version;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The failure domains, hosts, services and workspaces of a deployment.
 * <p>
 * Immutable and thread-safe. {@link ConfigurationValidator} validates the references
 * between the lists.
 *
 * @param deployment the name of the deployment
 * @param failureDomains the failure domains
 * @param hosts the entry hosts
 * @param services the services
 * @param workspaces the workspaces
 */
public record Inventory(String deployment, List<DomainEntry> failureDomains, List<HostEntry> hosts,
		List<ServiceEntry> services, List<WorkspaceEntry> workspaces) {

	public Inventory {
		Objects.requireNonNull(deployment, "deployment");
		failureDomains = List.copyOf(failureDomains);
		hosts = List.copyOf(hosts);
		services = List.copyOf(services);
		workspaces = List.copyOf(workspaces);
	}

	/**
	 * Finds a service.
	 * @param name the name
	 * @return the service, if it exists
	 */
	public Optional<ServiceEntry> service(ServiceId name) {
		return this.services.stream().filter((service) -> service.name().equals(name)).findFirst();
	}

	/**
	 * Finds a host.
	 * @param name the name
	 * @return the host, if it exists
	 */
	public Optional<HostEntry> host(HostId name) {
		return this.hosts.stream().filter((host) -> host.name().equals(name)).findFirst();
	}

	/**
	 * Finds a workspace.
	 * @param name the name
	 * @return the workspace, if it exists
	 */
	public Optional<WorkspaceEntry> workspace(WorkspaceId name) {
		return this.workspaces.stream().filter((workspace) -> workspace.name().equals(name)).findFirst();
	}

	/**
	 * Kind of a service.
	 */
	public enum ServiceKind {

		/** Model engines that stream completions. */
		MODEL,

		/** Plain HTTP servers. */
		PLAIN

	}

	/**
	 * A failure domain.
	 *
	 * @param name the name
	 * @param region the region to which it belongs
	 */
	public record DomainEntry(FailureDomain name, String region) {
	}

	/**
	 * An entry host.
	 *
	 * @param name the name
	 * @param failureDomain the failure domain in which it runs
	 * @param httpAddress {@code ip:port} for callers
	 * @param peerAddress {@code ip:port} for peer links
	 */
	public record HostEntry(HostId name, FailureDomain failureDomain, String httpAddress, String peerAddress) {
	}

	/**
	 * A service.
	 *
	 * @param name the name
	 * @param kind whether its endpoints are model engines or plain servers
	 * @param endpointsPerDomain the number of endpoints in each failure domain if all are
	 * running
	 * @param endpointCapacity the number of concurrent requests that a warm endpoint
	 * serves
	 * @param coldStartMillis the time from the order to start an endpoint until it is
	 * warm, in milliseconds
	 * @param honoursFencing whether endpoints refuse orders with an outdated fencing
	 * number
	 * @param openPaths path prefixes that need no API key
	 * @param repeatablePaths path prefixes of requests that are idempotent regardless of
	 * their method
	 */
	public record ServiceEntry(ServiceId name, ServiceKind kind, int endpointsPerDomain, int endpointCapacity,
			long coldStartMillis, boolean honoursFencing, List<String> openPaths, List<String> repeatablePaths) {

		public ServiceEntry {
			openPaths = List.copyOf(openPaths);
			repeatablePaths = List.copyOf(repeatablePaths);
		}

	}

	/**
	 * A workspace.
	 *
	 * @param name the name
	 * @param weight share of a contended service, relative to other workspaces
	 * @param services the services that its API keys may use
	 * @param trainers the trainers for which its API keys may act
	 */
	public record WorkspaceEntry(WorkspaceId name, int weight, List<ServiceId> services, List<TrainerId> trainers) {

		public WorkspaceEntry {
			services = List.copyOf(services);
			trainers = List.copyOf(trainers);
		}

	}

}
