package org.bamboorelay.core.process;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Selects the hosts that a host sends its status to. In a small deployment each host
 * sends it to all others. In a larger one, where the number of messages would grow with
 * the square of the number of hosts, each host sends it to a few relays, one in each
 * failure domain, which forward the statuses they receive to all hosts.
 * <p>
 * Immutable and thread-safe.
 */
public final class StatusRoutes {

	/**
	 * The largest number of hosts that send their status directly to all others. Up to
	 * this number that takes no more messages than three relays would.
	 */
	static final int MAX_FULL_MESH_HOSTS = 16;

	private final String self;

	private final boolean fullMesh;

	private final Set<String> relays;

	private final Set<String> dutyHolders;

	private StatusRoutes(String self, boolean fullMesh, Set<String> relays, Set<String> dutyHolders) {
		this.self = self;
		this.fullMesh = fullMesh;
		this.relays = relays;
		this.dutyHolders = dutyHolders;
	}

	/**
	 * Creates the routes of a host.
	 * @param self the host
	 * @param domains the failure domain of each host that is not known to be dead, the
	 * host itself included
	 * @param processorCores the processor capacity of each host, in cores; only hosts
	 * with high capacity become relays
	 * @param dutyHolders the hosts that report that they hold the duties, and therefore
	 * aggregate the usage counts
	 * @return the routes
	 */
	public static StatusRoutes of(String self, Map<String, String> domains, Map<String, Double> processorCores,
			Set<String> dutyHolders) {
		Objects.requireNonNull(self, "self");
		boolean fullMesh = domains.size() <= MAX_FULL_MESH_HOSTS;
		Set<String> relays = fullMesh ? Set.of()
				: StoreWatchers.of(HighCapacityHosts.inEachDomain(processorCores, domains));
		return new StatusRoutes(self, fullMesh, relays, Set.copyOf(dutyHolders));
	}

	/**
	 * Tells whether the host forwards the statuses of others.
	 * @return whether it is a relay
	 */
	public boolean isRelay() {
		return this.relays.contains(this.self);
	}

	/**
	 * Tells whether the host may take over the duties. For that it must already receive
	 * the usage counts of all other hosts.
	 * @return whether all others send it their complete status
	 */
	public boolean mayHoldDuties() {
		return this.fullMesh || isRelay();
	}

	/**
	 * Tells whether the host sends its status to another host.
	 * @param host the other host
	 * @return whether to maintain a link to it
	 */
	public boolean sendsTo(String host) {
		return isRelay() || needsUsageCounts(host);
	}

	/**
	 * Tells whether all hosts maintain a link to a host.
	 * @param host the host, which may be this one
	 * @return whether all others send it their status, however many they are
	 */
	public boolean isReachedByAll(String host) {
		return this.fullMesh || this.relays.contains(host);
	}

	/**
	 * Tells whether another host needs the complete status.
	 * @param host the other host
	 * @return whether to include the usage counts
	 */
	public boolean needsUsageCounts(String host) {
		return this.fullMesh || this.relays.contains(host) || this.dutyHolders.contains(host);
	}

}
