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
 * Rendezvous hashing: assigns each key to one host, so that only the keys of a host move
 * when it leaves or joins.
 * <p>
 * Stateless and thread-safe.
 */
public final class RendezvousHash {

	private RendezvousHash() {
	}

	/**
	 * Returns the host to which a key is assigned.
	 * @param key the key
	 * @param hosts the hosts, at least one, in any order
	 * @return the host
	 */
	public static HostId owner(String key, Collection<HostId> hosts) {
		Objects.requireNonNull(key, "key");
		if (hosts.isEmpty()) {
			throw new IllegalArgumentException("no hosts for key \"" + key + "\"");
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
	 * Ranks the hosts for a key; the first is the owner, the next its successor.
	 * @param key the key
	 * @param hosts the hosts, in any order
	 * @return the hosts, highest score first
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
	 * Hashes a text. The hash is the same in all processes and versions.
	 * @param text the text
	 * @return a 64-bit hash
	 */
	public static long hash(String text) {
		return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
	}

	/**
	 * Returns the score of a host for a key; the host with the highest score is the
	 * owner.
	 * @param keyHash the hash of the key
	 * @param host the host
	 * @return a 32-bit hash
	 */
	static int score(long keyHash, HostId host) {
		return MurmurHash3.hash32(keyHash, host.value().hashCode());
	}

}
