package org.bamboorelay.core.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;

import org.apache.commons.codec.digest.MurmurHash3;
import org.bamboorelay.core.version.HostId;

/**
 * Rendezvous hashing: assigns each key to one host, so that a host that leaves or joins
 * moves only its own share of the keys.
 * <p>
 * Stateless and thread-safe.
 */
public final class RendezvousHash {

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
		long keyHash = hash(key);
		HostId best = null;
		int bestScore = 0;
		for (HostId host : hosts) {
			int score = score(keyHash, host);
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
		long keyHash = hash(key);
		List<HostId> ranked = new ArrayList<>(hosts);
		ranked.sort(Comparator.<HostId>comparingInt((host) -> score(keyHash, host))
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
		return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
	}

	/**
	 * Returns the score of a host for a key; the highest one wins.
	 * @param keyHash the hash of the key
	 * @param host the host
	 * @return 32 well mixed bits
	 */
	static int score(long keyHash, HostId host) {
		return MurmurHash3.hash32(keyHash, host.value().hashCode());
	}

}
