package org.bamboorelay.core.process;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bamboorelay.core.version.HostId;

/**
 * Chooses the hosts that watch the platform's store and pass on what they see: one in
 * each failure domain, and some more where there are few domains. All calls are paid for,
 * so the number of watches must not grow with the number of hosts.
 * <p>
 * Stateless and thread-safe.
 */
public final class StoreReaders {

	/** The fewest readers, so that losing one or two leaves others. */
	private static final int MIN_READERS = 3;

	private static final String KEY = "store-readers";

	private StoreReaders() {
	}

	/**
	 * Chooses the readers.
	 * @param domains the failure domain of each live host
	 * @return the hosts that read the store
	 */
	public static Set<String> of(Map<String, String> domains) {
		Map<String, Set<HostId>> byDomain = new HashMap<>();
		domains.forEach(
				(host, domain) -> byDomain.computeIfAbsent(domain, (unused) -> new HashSet<>()).add(HostId.of(host)));
		Set<String> readers = new HashSet<>();
		byDomain.values().forEach((hosts) -> readers.add(RendezvousHash.owner(KEY, hosts).value()));
		for (HostId host : ranked(domains.keySet())) {
			if (readers.size() >= MIN_READERS) {
				break;
			}
			readers.add(host.value());
		}
		return readers;
	}

	private static List<HostId> ranked(Collection<String> hosts) {
		return RendezvousHash.ranked(KEY,
				hosts.stream().map(HostId::of).sorted(Comparator.comparing(HostId::value)).toList());
	}

}
