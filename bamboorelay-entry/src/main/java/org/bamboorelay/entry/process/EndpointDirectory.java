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
 * The endpoint sets of the failure domains, as sent by control processes. A set replaces
 * an earlier one only if its sequence is higher, so that a control process that lost its
 * lease cannot restore an outdated set. Control processes start their sequence at the
 * wall clock time in milliseconds, so that a restarted one is above its predecessors.
 * <p>
 * Thread-safe.
 */
final class EndpointDirectory {

	private final Map<FailureDomain, PeerMessage.EndpointSet> endpointSets = new HashMap<>();

	private final Map<FailureDomain, Long> contentHashes = new HashMap<>();

	/**
	 * Applies an endpoint set.
	 * @param set the set of one failure domain
	 * @return false if a set with the same or a higher sequence is held
	 */
	synchronized boolean accept(PeerMessage.EndpointSet set) {
		PeerMessage.EndpointSet known = this.endpointSets.get(set.domain());
		if (known != null && known.sequence() >= set.sequence()) {
			return false;
		}
		this.endpointSets.put(set.domain(), set);
		this.contentHashes.put(set.domain(), set.contentHash());
		return true;
	}

	/**
	 * Applies a notification that an endpoint set is unchanged. Advances the sequence as
	 * the set itself would.
	 * @param offer the hash of the set of one failure domain
	 * @return the reply to the sender
	 */
	synchronized PeerMessage accept(PeerMessage.EndpointSetOffer offer) {
		PeerMessage.EndpointSet known = this.endpointSets.get(offer.domain());
		if (known != null && known.sequence() >= offer.sequence()) {
			return new PeerMessage.Rejected("old-sequence", "endpoint set sequence " + offer.sequence() + " of "
					+ offer.domain() + " is not above " + known.sequence());
		}
		if (known == null || this.contentHashes.get(offer.domain()) != offer.contentHash()) {
			return new PeerMessage.Rejected(PeerMessage.EndpointSetOffer.NEED_SET,
					"the endpoint set of " + offer.domain() + " with this hash is not held");
		}
		this.endpointSets.put(offer.domain(),
				new PeerMessage.EndpointSet(known.domain(), offer.sequence(), known.endpoints(), known.weightHeads()));
		return new PeerMessage.Ack(true);
	}

	synchronized List<WeightVersion> weightHeads() {
		return this.endpointSets.values().stream().flatMap((set) -> set.weightHeads().stream()).toList();
	}

	/**
	 * Returns the endpoints of all failure domains.
	 * @return the endpoints by service
	 */
	synchronized Map<ServiceId, List<PeerMessage.EndpointInfo>> byService() {
		Map<ServiceId, List<PeerMessage.EndpointInfo>> services = new HashMap<>();
		this.endpointSets.values()
			.forEach((set) -> set.endpoints()
				.forEach((info) -> services.computeIfAbsent(info.service(), (unused) -> new ArrayList<>()).add(info)));
		return services;
	}

}
