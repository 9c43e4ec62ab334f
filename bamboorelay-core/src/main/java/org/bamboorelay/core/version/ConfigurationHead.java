package org.bamboorelay.core.version;

import java.util.Map;
import java.util.Objects;

/**
 * Content of the object {@code config/head}: the immutable parts that make up the current
 * version. The parts are named {@code inventory}, {@code rules}, {@code keys} and
 * {@code domains}; each is stored under {@code config/parts/<sha256>}.
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the version of the configuration
 * @param parts SHA-256 of each part in hexadecimal, by name of the part
 * @param token unique token of the write that created this head; a writer whose response
 * was lost recognizes its own write by it
 */
public record ConfigurationHead(long version, Map<String, String> parts, String token) {

	/** Key of the head in the object store. */
	public static final String KEY = "config/head";

	/** Key prefix of the parts in the object store; the SHA-256 of the part follows. */
	public static final String PART_PREFIX = "config/parts/";

	public ConfigurationHead {
		parts = Map.copyOf(parts);
		Objects.requireNonNull(token, "token");
		if (version <= 0) {
			throw new IllegalArgumentException("version must be positive: " + version);
		}
	}

}
