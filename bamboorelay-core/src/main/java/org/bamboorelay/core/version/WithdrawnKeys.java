package org.bamboorelay.core.version;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The withdrawn key hashes that a node knows. The set only grows, so nodes may exchange
 * it in any order and any number of times.
 * <p>
 * Thread-safe.
 */
public final class WithdrawnKeys {

	private final Set<KeyHash> keys = ConcurrentHashMap.newKeySet();

	/**
	 * Adds hashes.
	 * @param withdrawn the hashes
	 * @return the hashes that were not known before
	 */
	public List<KeyHash> add(Collection<KeyHash> withdrawn) {
		return withdrawn.stream().filter(this.keys::add).toList();
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
	public int size() {
		return this.keys.size();
	}

	/**
	 * Returns all hashes.
	 * @return a copy
	 */
	public List<KeyHash> all() {
		return List.copyOf(this.keys);
	}

}
