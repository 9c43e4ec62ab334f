package org.bamboorelay.entry.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.ServiceId;

/**
 * The endpoints of each failure domain, as control processes list them. A list replaces
 * an earlier one only where its sequence is higher, so that a control process that lost
 * its lease cannot bring an old list back. Control processes start their sequence from
 * the wall clock in milliseconds, so a restarted one is above its predecessors.
 * <p>
 * Thread-safe.
 */
final class EndpointDirectory {

	private final Map<FailureDomain, PeerMessage.EndpointSet> sets = new HashMap<>();

	/**
	 * Takes a list.
	 * @param set the list of one failure domain
	 * @return false where a list with the same or a higher sequence is known
	 */
	synchronized boolean accept(PeerMessage.EndpointSet set) {
		PeerMessage.EndpointSet known = this.sets.get(set.domain());
		if (known != null && known.sequence() >= set.sequence()) {
			return false;
		}
		this.sets.put(set.domain(), set);
		return true;
	}

	/**
	 * Returns the endpoints by service.
	 * @return the endpoints
	 */
	synchronized Map<ServiceId, List<PeerMessage.EndpointInfo>> byService() {
		Map<ServiceId, List<PeerMessage.EndpointInfo>> services = new HashMap<>();
		this.sets.values()
			.forEach((set) -> set.endpoints()
				.forEach((info) -> services.computeIfAbsent(info.service(), (unused) -> new ArrayList<>()).add(info)));
		return services;
	}

}
