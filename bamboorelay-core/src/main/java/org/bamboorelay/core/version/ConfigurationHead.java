package org.bamboorelay.core.version;

import java.util.Map;
import java.util.Objects;

/**
 * The value of the object {@code config/head}: which immutable parts make up the version
 * in force. Parts are named {@code inventory}, {@code rules}, {@code keys} and
 * {@code domains}; each lies at {@code config/parts/<sha256>}.
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the version of the configuration
 * @param parts SHA-256 of each part, in hexadecimal, by the part's name
 * @param token the token of the process that wrote the head
 */
public record ConfigurationHead(long version, Map<String, String> parts, String token) {

	/** Key of the head in the object API. */
	public static final String KEY = "config/head";

	/** Prefix of the parts in the object API. */
	public static final String PART_PREFIX = "config/parts/";

	public ConfigurationHead {
		parts = Map.copyOf(parts);
		Objects.requireNonNull(token, "token");
		if (version <= 0) {
			throw new IllegalArgumentException("version must be positive: " + version);
		}
	}

}
