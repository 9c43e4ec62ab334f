package org.bamboorelay.core.version;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * Name of a line of weights: the sequence of weight versions that one trainer publishes.
 * <p>
 * Immutable and thread-safe.
 */
public final class LineId extends Identifier {

	private LineId(String value) {
		super(value);
	}

	/**
	 * Creates an identifier.
	 * @param value the text, in the format that {@link Identifier} describes
	 * @return the identifier
	 */
	@JsonCreator
	public static LineId of(String value) {
		return new LineId(value);
	}

}
