package org.bamboorelay.core.version;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * One version of a line of weights, written {@code line@number}.
 * <p>
 * Immutable and thread-safe.
 *
 * @param line the line
 * @param number the number, which rises by one with each version of the line; 0 is the
 * base that every engine has
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
	 * Reads a version.
	 * @param text such as {@code cartas@12}
	 * @return the version
	 */
	@JsonCreator
	public static WeightVersion parse(String text) {
		Objects.requireNonNull(text, "text");
		int at = text.lastIndexOf('@');
		if (at < 0) {
			throw new IllegalArgumentException("weight version \"" + text + "\" has no '@'");
		}
		try {
			return new WeightVersion(LineId.of(text.substring(0, at)), Long.parseLong(text.substring(at + 1)));
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
