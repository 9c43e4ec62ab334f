package org.bamboorelay.core.version;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A version of a line of weights, in the text form {@code line@number}.
 * <p>
 * Immutable and thread-safe.
 *
 * @param line the line
 * @param number the version number, incremented by each version of the line; 0 is the
 * base version that every engine has
 */
public record WeightVersion(LineId line, long number) {

	public WeightVersion {
		Objects.requireNonNull(line, "line");
		if (number < 0) {
			throw new IllegalArgumentException("number must not be negative: " + number);
		}
	}

	/**
	 * Creates a version.
	 * @param line the line
	 * @param number the number
	 * @return the version
	 */
	public static WeightVersion of(LineId line, long number) {
		return new WeightVersion(line, number);
	}

	/**
	 * Parses a version.
	 * @param text text form, such as {@code cartas@12}
	 * @return the version
	 */
	@JsonCreator
	public static WeightVersion parse(String text) {
		Objects.requireNonNull(text, "text");
		int separator = text.lastIndexOf('@');
		if (separator < 0) {
			throw new IllegalArgumentException("weight version \"" + text + "\" has no '@'");
		}
		try {
			return new WeightVersion(LineId.of(text.substring(0, separator)),
					Long.parseLong(text.substring(separator + 1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("weight version \"" + text + "\" has no number after '@'", ex);
		}
	}

	@JsonValue
	@Override
	public String toString() {
		return this.line + "@" + this.number;
	}

}
