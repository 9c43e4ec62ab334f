package org.bamboorelay.core.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The withdrawn key hashes that a node knows. The set only grows, so nodes may exchange
 * it in any order and any number of times. Hashes are numbered from 1 in the order in
 * which they were added.
 * <p>
 * Thread-safe; additions take the lock of the set, and look-ups take none.
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
	 * @return the hashes that were not known before
	 */
	public synchronized List<KeyHash> add(Collection<KeyHash> withdrawn) {
		List<KeyHash> added = withdrawn.stream().filter(this.keys::add).toList();
		this.log.addAll(added);
		// A sum does not depend on the order, and SHA-256 spreads its terms evenly.
		added.forEach((key) -> this.sum += Long.parseUnsignedLong(key.value(), 0, HASH_DIGITS, HEXADECIMAL));
		return added;
	}

	/**
	 * Tells whether a key was withdrawn.
	 * @param key the hash of the key
	 * @return whether it was withdrawn
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
	 * Returns the digest of the set, and the hashes above a number.
	 * @param number the number; from 0 to the number of hashes, and all hashes are above
	 * 0
	 * @return both as of one moment
	 */
	public synchronized Part above(int number) {
		if (number < 0 || number > this.log.size()) {
			throw new IllegalArgumentException("number " + number + " is not between 0 and " + this.log.size());
		}
		return new Part(this.log.size(), this.sum, List.copyOf(this.log.subList(number, this.log.size())));
	}

	/**
	 * Returns the digest of the set.
	 * @return the digest, without hashes
	 */
	public synchronized Part digest() {
		return new Part(this.log.size(), this.sum, List.of());
	}

	/**
	 * A digest of the set with some of its hashes.
	 *
	 * @param count the number of hashes in the set
	 * @param hash hash of the set, independent of the order
	 * @param keys some of the hashes
	 */
	public record Part(int count, long hash, List<KeyHash> keys) {
	}

}
