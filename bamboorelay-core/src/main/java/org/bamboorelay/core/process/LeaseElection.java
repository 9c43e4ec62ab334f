package org.bamboorelay.core.process;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;

/**
 * Chooses the hosts of a failure domain that contend for leases, as each contender reads
 * each lease about once a second.
 * <p>
 * Stateless and thread-safe.
 */
public final class LeaseElection {

	/** Contenders of a domain; with three, two may fail at once. */
	public static final int CONTENDERS = 3;

	private LeaseElection() {
	}

	/**
	 * Tells whether a host contends. A host always counts itself as live.
	 * @param domain the failure domain
	 * @param liveHosts its live hosts as the host sees them
	 * @param self the host
	 * @return whether it contends
	 */
	public static boolean isContender(FailureDomain domain, Collection<HostId> liveHosts, HostId self) {
		Set<HostId> hosts = new HashSet<>(liveHosts);
		hosts.add(self);
		return RendezvousHash.ranked("lease-contender/" + domain, hosts).indexOf(self) < CONTENDERS;
	}

}
