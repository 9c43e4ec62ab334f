package org.bamboorelay.core.version;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import java.util.regex.Pattern;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * SHA-256 of an API key, in lower-case hexadecimal. Keys are stored, compared and logged
 * in this form only.
 * <p>
 * Immutable and thread-safe.
 *
 * @param value 64 hexadecimal digits
 */
public record KeyHash(@JsonValue String value) {

	private static final Pattern ALLOWED = Pattern.compile("[0-9a-f]{64}");

	@JsonCreator
	public KeyHash {
		Objects.requireNonNull(value, "value");
		if (!ALLOWED.matcher(value).matches()) {
			// The message omits the invalid value, which might be a plain key.
			throw new IllegalArgumentException("key hash must have 64 hexadecimal digits");
		}
	}

	/**
	 * Computes the hash of an API key.
	 * @param key the API key as the caller sent it
	 * @return the hash
	 */
	public static KeyHash ofKey(String key) {
		Objects.requireNonNull(key, "key");
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
			return new KeyHash(HexFormat.of().formatHex(digest));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing from the JDK", ex);
		}
	}

	/**
	 * Parses a hash.
	 * @param text 64 hexadecimal digits
	 * @return the hash
	 */
	public static KeyHash parse(String text) {
		return new KeyHash(text);
	}

	@Override
	public String toString() {
		return this.value.substring(0, 12);
	}

}
