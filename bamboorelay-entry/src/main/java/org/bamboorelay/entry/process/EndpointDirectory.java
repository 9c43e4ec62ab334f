package org.bamboorelay.entry.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WeightVersion;

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

	private final Map<FailureDomain, Long> hashes = new HashMap<>();

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
		this.hashes.put(set.domain(), set.contentHash());
		return true;
	}

	/**
	 * Takes the news that a list is unchanged. It counts like the list itself.
	 * @param offer hash of the list of one failure domain
	 * @return the answer to the sender
	 */
	synchronized PeerMessage accept(PeerMessage.EndpointSetOffer offer) {
		PeerMessage.EndpointSet known = this.sets.get(offer.domain());
		if (known != null && known.sequence() >= offer.sequence()) {
			return new PeerMessage.Rejected("old-sequence",
					"sequence " + offer.sequence() + " of " + offer.domain() + " is not above " + known.sequence());
		}
		if (known == null || this.hashes.get(offer.domain()) != offer.contentHash()) {
			return new PeerMessage.Rejected(PeerMessage.EndpointSetOffer.NEED_SET,
					"the set of " + offer.domain() + " is not held here");
		}
		this.sets.put(offer.domain(),
				new PeerMessage.EndpointSet(known.domain(), offer.sequence(), known.endpoints(), known.weightHeads()));
		return new PeerMessage.Ack(true);
	}

	synchronized List<WeightVersion> weightHeads() {
		return this.sets.values().stream().flatMap((set) -> set.weightHeads().stream()).toList();
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
