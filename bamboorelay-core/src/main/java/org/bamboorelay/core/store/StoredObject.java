package org.bamboorelay.core.store;

import java.util.Objects;

/**
 * An object with the version it was read at.
 * <p>
 * Immutable as long as nobody writes to the array; thread-safe under the same condition.
 *
 * @param key the key
 * @param version the version, which rises with each write of the store
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
