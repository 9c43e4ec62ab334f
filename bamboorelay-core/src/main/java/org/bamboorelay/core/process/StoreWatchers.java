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
 * Selects the hosts that watch the platform's store and forward the changes to the other
 * hosts: one in each failure domain, and further ones if there are few domains. Each call
 * to the store is billed, so the number of watches must not grow with the number of
 * hosts.
 * <p>
 * Stateless and thread-safe.
 */
public final class StoreWatchers {

	/** Minimum number of watchers, so that the loss of one or two leaves others. */
	private static final int MIN_WATCHERS = 3;

	private static final String HASH_KEY = "store-readers";

	private StoreWatchers() {
	}

	/**
	 * Selects the watchers.
	 * @param domains the failure domain of each live host
	 * @return the hosts that watch the store
	 */
	public static Set<String> of(Map<String, String> domains) {
		Map<String, Set<HostId>> byDomain = new HashMap<>();
		domains.forEach(
				(host, domain) -> byDomain.computeIfAbsent(domain, (unused) -> new HashSet<>()).add(HostId.of(host)));
		Set<String> watchers = new HashSet<>();
		byDomain.values().forEach((hosts) -> watchers.add(RendezvousHash.owner(HASH_KEY, hosts).value()));
		for (HostId host : ranked(domains.keySet())) {
			if (watchers.size() >= MIN_WATCHERS) {
				break;
			}
			watchers.add(host.value());
		}
		return watchers;
	}

	private static List<HostId> ranked(Collection<String> hosts) {
		return RendezvousHash.ranked(HASH_KEY,
				hosts.stream().map(HostId::of).sorted(Comparator.comparing(HostId::value)).toList());
	}

}
