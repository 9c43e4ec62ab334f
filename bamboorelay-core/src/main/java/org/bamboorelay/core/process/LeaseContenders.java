package org.bamboorelay.core.process;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;

/**
 * Selects the hosts of a failure domain that contend for leases. Their number is limited
 * because each contender reads each lease about once a second.
 * <p>
 * Stateless and thread-safe.
 */
public final class LeaseContenders {

	/** Number of contenders of a domain. Three tolerate the failure of two at once. */
	public static final int CONTENDERS_PER_DOMAIN = 3;

	private LeaseContenders() {
	}

	/**
	 * Tells whether a host contends for the leases of its domain. The host itself always
	 * counts as live.
	 * @param domain the failure domain
	 * @param liveHosts the live hosts of the domain as this host sees them
	 * @param self this host
	 * @return whether this host contends
	 */
	public static boolean isContender(FailureDomain domain, Collection<HostId> liveHosts, HostId self) {
		Set<HostId> hosts = new HashSet<>(liveHosts);
		hosts.add(self);
		return RendezvousHash.ranked("lease-contender/" + domain, hosts).indexOf(self) < CONTENDERS_PER_DOMAIN;
	}

}
