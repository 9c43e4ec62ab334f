package org.bamboorelay.core.version;

import java.util.Objects;
import java.util.regex.Pattern;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Base class of the names in the configuration. Two identifiers are equal if they have
 * the same type and the same text.
 * <p>
 * Subclasses are final, immutable and thread-safe.
 */
public abstract class Identifier implements Comparable<Identifier> {

	/** Maximum length of an identifier, in characters. */
	public static final int MAX_LENGTH = 63;

	private static final Pattern ALLOWED = Pattern.compile("[a-z0-9]([a-z0-9.-]*[a-z0-9])?");

	private final String value;

	/**
	 * Creates an identifier.
	 * @param value lower-case letters, digits, dots and inner hyphens; at most
	 * {@value #MAX_LENGTH} characters
	 * @throws IllegalArgumentException if the text has another form
	 */
	protected Identifier(String value) {
		Objects.requireNonNull(value, "value");
		if (value.length() > MAX_LENGTH || !ALLOWED.matcher(value).matches()) {
			throw new IllegalArgumentException("\"" + value + "\" is not a valid " + getClass().getSimpleName()
					+ ": lower-case letters, digits, dots and inner hyphens, at most " + MAX_LENGTH + " characters");
		}
		this.value = value;
	}

	/**
	 * Returns the text.
	 * @return the text
	 */
	@JsonValue
	public final String value() {
		return this.value;
	}

	@Override
	public final int compareTo(Identifier other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public final boolean equals(Object other) {
		return other != null && getClass() == other.getClass() && this.value.equals(((Identifier) other).value);
	}

	@Override
	public final int hashCode() {
		return this.value.hashCode();
	}

	@Override
	public final String toString() {
		return this.value;
	}

}
