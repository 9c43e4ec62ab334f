package org.bamboorelay.core.process;

import java.util.Collection;
import java.util.List;

import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;

/**
 * Selects the hosts of a failure domain that read the configuration from the store.
 * <p>
 * Stateless and thread-safe.
 */
public final class ConfigurationReaders {

	/**
	 * Number of readers of a domain. With two, the loss of one does not delay the next
	 * read by an interval.
	 */
	public static final int READERS_PER_DOMAIN = 2;

	private ConfigurationReaders() {
	}

	/**
	 * Returns the readers of a domain.
	 * @param domain the failure domain
	 * @param liveHosts the live hosts of the domain
	 * @return at most two hosts
	 */
	public static List<HostId> readers(FailureDomain domain, Collection<HostId> liveHosts) {
		return RendezvousHash.ranked("config-reader/" + domain, liveHosts).stream().limit(READERS_PER_DOMAIN).toList();
	}

	/**
	 * Tells whether a host reads the configuration. A host that does not see itself among
	 * the live hosts always reads, so that a domain whose hosts cannot see each other
	 * still gets new configurations.
	 * @param domain the failure domain
	 * @param liveHosts the live hosts of the domain as this host sees them
	 * @param self this host
	 * @return whether this host reads
	 */
	public static boolean isReader(FailureDomain domain, Collection<HostId> liveHosts, HostId self) {
		return !liveHosts.contains(self) || readers(domain, liveHosts).contains(self);
	}

}
