package org.bamboorelay.core.store;

import java.util.Objects;

/**
 * An object with the version at which it was read.
 * <p>
 * Immutable and thread-safe, provided that the array is not modified.
 *
 * @param key the key
 * @param version the version, which increases with each write to the store
 * @param body the value
 */
public record StoredObject(String key, long version, byte[] body) {

	public StoredObject {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(body, "body");
		if (version <= 0) {
			throw new IllegalArgumentException("version must be positive: " + version);
		}
	}

}
