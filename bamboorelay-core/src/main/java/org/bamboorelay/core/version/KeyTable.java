package org.bamboorelay.core.version;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The keys that were granted, and the hashes that were withdrawn. A withdrawn hash stays
 * withdrawn for ever; a new grant needs a new key.
 * <p>
 * Immutable and thread-safe.
 *
 * @param granted the grants in force
 * @param withdrawn the hashes that were withdrawn
 */
public record KeyTable(List<Grant> granted, Set<KeyHash> withdrawn) {

	public KeyTable {
		granted = List.copyOf(granted);
		withdrawn = Set.copyOf(withdrawn);
	}

	/**
	 * Returns a table without keys.
	 * @return the empty table
	 */
	public static KeyTable empty() {
		return new KeyTable(List.of(), Set.of());
	}

	/**
	 * Finds the workspace of a key.
	 * @param key the hash of the key
	 * @return the workspace, or nothing where the key is unknown or withdrawn
	 */
	public Optional<WorkspaceId> workspace(KeyHash key) {
		if (this.withdrawn.contains(key)) {
			return Optional.empty();
		}
		return this.granted.stream().filter((grant) -> grant.key().equals(key)).map(Grant::workspace).findFirst();
	}

	/**
	 * Returns a copy with one more grant.
	 * @param key the hash of the new key; must not be withdrawn
	 * @param workspace the workspace it acts for
	 * @return the copy
	 */
	public KeyTable withGrant(KeyHash key, WorkspaceId workspace) {
		if (this.withdrawn.contains(key)) {
			throw new IllegalArgumentException("key " + key + " was withdrawn and cannot be granted again");
		}
		List<Grant> grants = new ArrayList<>(this.granted);
		grants.removeIf((grant) -> grant.key().equals(key));
		grants.add(new Grant(key, workspace));
		return new KeyTable(grants, this.withdrawn);
	}

	/**
	 * Returns a copy in which the keys are withdrawn.
	 * @param keys the hashes to withdraw
	 * @return the copy
	 */
	public KeyTable withWithdrawn(Set<KeyHash> keys) {
		List<Grant> grants = this.granted.stream().filter((grant) -> !keys.contains(grant.key())).toList();
		Set<KeyHash> all = new HashSet<>(this.withdrawn);
		all.addAll(keys);
		return new KeyTable(grants, all);
	}

	/**
	 * A key that acts for a workspace.
	 *
	 * @param key the hash of the key
	 * @param workspace the workspace
	 */
	public record Grant(KeyHash key, WorkspaceId workspace) {
	}

}
