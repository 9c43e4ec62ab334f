package org.bamboorelay.core.process;

import java.util.Collection;
import java.util.List;

import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;

/**
 * Chooses the hosts of a failure domain that read the configuration from the store.
 * <p>
 * Stateless and thread-safe.
 */
public final class ReaderElection {

	/** Readers of a domain; two, so that the loss of one costs no interval. */
	public static final int READERS = 2;

	private ReaderElection() {
	}

	/**
	 * Returns the readers of a domain.
	 * @param domain the failure domain
	 * @param liveHosts its live hosts
	 * @return at most two hosts
	 */
	public static List<HostId> readers(FailureDomain domain, Collection<HostId> liveHosts) {
		return RendezvousHash.ranked("config-reader/" + domain, liveHosts).stream().limit(READERS).toList();
	}

	/**
	 * Tells whether a host reads. A host always counts itself as live, so that a domain
	 * whose hosts do not see each other still reads.
	 * @param domain the failure domain
	 * @param liveHosts its live hosts as the host sees them
	 * @param self the host
	 * @return whether it reads
	 */
	public static boolean isReader(FailureDomain domain, Collection<HostId> liveHosts, HostId self) {
		return !liveHosts.contains(self) || readers(domain, liveHosts).contains(self);
	}

}
