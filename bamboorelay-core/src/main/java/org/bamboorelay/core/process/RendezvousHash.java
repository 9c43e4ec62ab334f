package org.bamboorelay.core.process;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import io.vavr.control.Option;
import org.bamboorelay.core.version.Identifier;

/**
 * Chooses hosts for a key so that every process chooses the same ones from the same live
 * set, and a change of the set moves only the keys of the hosts that changed.
 * <p>
 * Stateless and thread-safe.
 */
public final class RendezvousHash {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private RendezvousHash() {
	}

	/**
	 * Chooses one host.
	 * @param <T> type of the hosts
	 * @param key the key
	 * @param hosts the hosts to choose from
	 * @return the host, or nothing where there are none
	 */
	public static <T extends Identifier> Option<T> owner(String key, Collection<T> hosts) {
		List<T> first = choose(key, hosts, 1);
		return first.isEmpty() ? Option.none() : Option.some(first.get(0));
	}

	/**
	 * Chooses several hosts, the best first.
	 * @param <T> type of the hosts
	 * @param key the key
	 * @param hosts the hosts to choose from
	 * @param count the most hosts to choose
	 * @return the hosts
	 */
	public static <T extends Identifier> List<T> choose(String key, Collection<T> hosts, int count) {
		return hosts.stream()
			.sorted(Comparator.<T>comparingLong((host) -> weight(key, host.value()))
				.reversed()
				.thenComparing(Identifier::value))
			.limit(count)
			.toList();
	}

	/**
	 * Hashes a text to 64 bits, equal in every process.
	 * @param text the text
	 * @return the hash
	 */
	public static long hash(String text) {
		long hash = FNV_OFFSET;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * FNV_PRIME;
		}
		// FNV alone leaves the high bits of short texts nearly equal.
		hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return hash ^ (hash >>> 33);
	}

	private static long weight(String key, String host) {
		return hash(key + '\0' + host);
	}

}
