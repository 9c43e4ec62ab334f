package org.bamboorelay.core.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Grow-only set of the hashes of withdrawn keys that a node knows. Because nothing is
 * ever removed, nodes may exchange its content in any order and any number of times.
 * Hashes are numbered from 1 in the order in which they were added.
 * <p>
 * Thread-safe. Additions and snapshots are guarded by the lock of the set; look-ups need
 * no lock.
 */
public final class WithdrawnKeys {

	private static final int SUMMED_HEX_DIGITS = 16;

	private static final int HEX_RADIX = 16;

	private final Set<KeyHash> keys = ConcurrentHashMap.newKeySet();

	private final List<KeyHash> additions = new ArrayList<>();

	private long sum;

	/**
	 * Adds hashes.
	 * @param hashes the hashes
	 * @return the hashes that were not in the set before
	 */
	public synchronized List<KeyHash> add(Collection<KeyHash> hashes) {
		List<KeyHash> added = hashes.stream().filter(this.keys::add).toList();
		this.additions.addAll(added);
		// The sum does not depend on the order of additions, and the SHA-256 prefixes are
		// uniformly distributed.
		added.forEach((key) -> this.sum += Long.parseUnsignedLong(key.value(), 0, SUMMED_HEX_DIGITS, HEX_RADIX));
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
		return this.additions.size();
	}

	/**
	 * Returns all hashes.
	 * @return a copy
	 */
	public synchronized List<KeyHash> all() {
		return List.copyOf(this.additions);
	}

	/**
	 * Returns the digest of the set and the hashes that were added after a given one, as
	 * a consistent snapshot.
	 * @param position number of the last hash to skip; 0 to the size of the set, 0
	 * returns all hashes
	 * @return the digest and the hashes
	 */
	public synchronized Delta deltaAfter(int position) {
		if (position < 0 || position > this.additions.size()) {
			throw new IllegalArgumentException(
					"position " + position + " is not between 0 and " + this.additions.size());
		}
		return new Delta(this.additions.size(), this.sum,
				List.copyOf(this.additions.subList(position, this.additions.size())));
	}

	/**
	 * Returns the digest of the set.
	 * @return the digest with an empty list of hashes
	 */
	public synchronized Delta digest() {
		return new Delta(this.additions.size(), this.sum, List.of());
	}

	/**
	 * Digest of the set with some of its hashes.
	 *
	 * @param count the number of hashes in the set
	 * @param hash hash of the set, independent of the order of additions
	 * @param keys some of the hashes
	 */
	public record Delta(int count, long hash, List<KeyHash> keys) {
	}

}
