package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;

import org.bamboorelay.core.version.HostId;

/**
 * Rendezvous hashing: assigns each key to one host, so that a host that leaves or joins
 * moves only its own share of the keys.
 * <p>
 * Stateless and thread-safe.
 */
public final class RendezvousHash {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private RendezvousHash() {
	}

	/**
	 * Finds the host that a key belongs to.
	 * @param key the key
	 * @param hosts the hosts, at least one, in any order
	 * @return the host
	 */
	public static HostId owner(String key, Collection<HostId> hosts) {
		Objects.requireNonNull(key, "key");
		if (hosts.isEmpty()) {
			throw new IllegalArgumentException("no host to own key \"" + key + "\"");
		}
		HostId best = null;
		long bestScore = 0;
		for (HostId host : hosts) {
			long score = score(key, host);
			if (best == null || score > bestScore || (score == bestScore && host.compareTo(best) < 0)) {
				best = host;
				bestScore = score;
			}
		}
		return Objects.requireNonNull(best);
	}

	/**
	 * Orders the hosts for a key; the first is the owner, the next its successor.
	 * @param key the key
	 * @param hosts the hosts, in any order
	 * @return the hosts, best first
	 */
	public static List<HostId> ranked(String key, Collection<HostId> hosts) {
		Objects.requireNonNull(key, "key");
		List<HostId> ranked = new ArrayList<>(hosts);
		ranked.sort(Comparator.<HostId>comparingLong((host) -> score(key, host))
			.reversed()
			.thenComparing(Comparator.naturalOrder()));
		return ranked;
	}

	/**
	 * Hashes a text. The value is stable between processes and versions.
	 * @param text the text
	 * @return 64 well mixed bits
	 */
	public static long hash(String text) {
		return mix(append(FNV_OFFSET, text));
	}

	private static long score(String key, HostId host) {
		return mix(append(append(FNV_OFFSET, key) * FNV_PRIME, host.value()));
	}

	static long mix(long value) {
		// FNV alone leaves the high bits of short keys correlated, which skews shares.
		long hash = value;
		hash ^= hash >>> 33;
		hash *= 0xff51afd7ed558ccdL;
		hash ^= hash >>> 33;
		hash *= 0xc4ceb9fe1a85ec53L;
		return hash ^ (hash >>> 33);
	}

	private static long append(long seed, String text) {
		long hash = seed;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * FNV_PRIME;
		}
		return hash;
	}

}
