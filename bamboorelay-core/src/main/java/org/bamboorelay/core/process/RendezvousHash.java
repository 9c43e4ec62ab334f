package org.bamboorelay.core.process;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.bamboorelay.core.version.HostId;

/**
 * Rendezvous hash: when a host comes or goes, only the keys of that host change owner.
 * <p>
 * Stateless and thread-safe.
 */
public final class RendezvousHash {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private RendezvousHash() {
	}

	/**
	 * Returns the owner of a key.
	 * @param key the key
	 * @param hosts the hosts, at least one
	 * @return the host with the highest weight
	 */
	public static HostId owner(String key, Collection<HostId> hosts) {
		if (hosts.isEmpty()) {
			throw new IllegalArgumentException("no host can own \"" + key + "\": the list is empty");
		}
		return ranked(key, hosts).get(0);
	}

	/**
	 * Ranks the hosts for a key.
	 * @param key the key
	 * @param hosts the hosts
	 * @return the hosts, the owner first
	 */
	public static List<HostId> ranked(String key, Collection<HostId> hosts) {
		return hosts.stream()
			.distinct()
			.sorted(Comparator.comparingLong((HostId host) -> weight(key, host))
				.reversed()
				.thenComparing(HostId::value))
			.toList();
	}

	private static long weight(String key, HostId host) {
		long hash = FNV_OFFSET;
		for (byte octet : (key + '\0' + host.value()).getBytes(StandardCharsets.UTF_8)) {
			hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
		}
		// FNV spreads the last bytes badly over the high bits; this finalizer of 64-bit
		// mixing corrects it.
		hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return hash ^ (hash >>> 33);
	}

}
