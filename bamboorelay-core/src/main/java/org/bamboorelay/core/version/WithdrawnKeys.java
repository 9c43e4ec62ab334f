package org.bamboorelay.core.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Grow-only set of the hashes of withdrawn keys that a node knows. Because nothing is ever removed, nodes may exchange its content in any order and any number of times. Hashes are numbered from 1 in the order in which they were added.
 * <p>
 * Thread-safe. Additions and snapshots are guarded by the lock of the set; look-ups need no lock.
 */
public final class WithdrawnKeys {

	private static final int HASH_DIGITS = 16;

	private static final int HEXADECIMAL = 16;

	private final Set<KeyHash> keys = ConcurrentHashMap.newKeySet();

	private final List<KeyHash> log = new ArrayList<>();

	private long sum;

	/**
	 * Adds hashes.
	 * @param withdrawn the hashes
	 * @return the hashes that were not in the set before
	 */
	public synchronized List<KeyHash> add(Collection<KeyHash> withdrawn) {
		List<KeyHash> added = withdrawn.stream().filter(this.keys::add).toList();
		this.log.addAll(added);
		// The sum does not depend on the order of additions, and the SHA-256 prefixes are
		// uniformly distributed.
		added.forEach((key) -> this.sum += Long.parseUnsignedLong(key.value(), 0, HASH_DIGITS, HEXADECIMAL));
		return added;
	}

	/**
	 * Returns whether a key was withdrawn.
	 * @param key the hash of the key
	 * @return true if it was withdrawn
	 */
	public boolean contains(KeyHash key) {
		return this.keys.contains(key);
	}

	/**
	 * Returns the number of hashes.
	 * @return the number
	 */
	public synchronized int size() {
		return this.log.size();
	}

	/**
	 * Returns all hashes.
	 * @return a copy
	 */
	public synchronized List<KeyHash> all() {
		return List.copyOf(this.log);
	}

	/**
	 * Returns the digest of the set and the hashes that were added after a given one, as a consistent snapshot.
	 * @param number number of the last hash to skip; 0 to the size of the set, 0 returns all hashes
	 * @return the digest and the hashes
	 */
	public synchronized Part above(int number) {
		if (number < 0 || number > this.log.size()) {
			throw new IllegalArgumentException("position " + number + " is not between 0 and " + this.log.size());
		}
		return new Part(this.log.size(), this.sum, List.copyOf(this.log.subList(number, this.log.size())));
	}

	/**
	 * Returns the digest of the set.
	 * @return the digest with an empty list of hashes
	 */
	public synchronized Part digest() {
		return new Part(this.log.size(), this.sum, List.of());
	}

	/**
	 * Digest of the set with some of its hashes.
	 *
	 * @param count the number of hashes in the set
	 * @param hash hash of the set, independent of the order of additions
	 * @param keys some of the hashes
	 */
	public record Part(int count, long hash, List<KeyHash> keys) {
	}

}
