package org.bamboorelay.core.version;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The granted API keys and the withdrawn ones, by hash. A withdrawal is permanent: a
 * withdrawn key cannot be granted again.
 * <p>
 * Immutable and thread-safe.
 *
 * @param granted the valid grants
 * @param withdrawn hashes of the withdrawn keys
 */
public record KeyTable(List<Grant> granted, Set<KeyHash> withdrawn) {

	public KeyTable {
		granted = List.copyOf(granted);
		withdrawn = Set.copyOf(withdrawn);
	}

	/**
	 * Returns an empty table.
	 * @return the empty table
	 */
	public static KeyTable empty() {
		return new KeyTable(List.of(), Set.of());
	}

	/**
	 * Returns the workspace of a key.
	 * @param key the hash of the key
	 * @return the workspace, or empty if the key is unknown or withdrawn
	 */
	public Optional<WorkspaceId> workspace(KeyHash key) {
		if (this.withdrawn.contains(key)) {
			return Optional.empty();
		}
		return this.granted.stream().filter((grant) -> grant.key().equals(key)).map(Grant::workspace).findFirst();
	}

	/**
	 * Returns a copy with an additional grant, which replaces an earlier grant of the
	 * same key.
	 * @param key the hash of the key, which must not be withdrawn
	 * @param workspace the workspace for which the key acts
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
	 * Returns a copy with additional withdrawn keys, whose grants are removed.
	 * @param keys hashes of the keys
	 * @return the copy
	 */
	public KeyTable withWithdrawn(Set<KeyHash> keys) {
		List<Grant> grants = this.granted.stream().filter((grant) -> !keys.contains(grant.key())).toList();
		Set<KeyHash> all = new HashSet<>(this.withdrawn);
		all.addAll(keys);
		return new KeyTable(grants, all);
	}

	/**
	 * Grant of an API key to a workspace.
	 *
	 * @param key the hash of the key
	 * @param workspace the workspace
	 */
	public record Grant(KeyHash key, WorkspaceId workspace) {
	}

}
