package org.bamboorelay.core.version;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * Name of a line of weights: one trainer's sequence of versions.
 * <p>
 * Immutable and thread-safe.
 */
public final class LineId extends Identifier {

	private LineId(String value) {
		super(value);
	}

	/**
	 * Creates an identifier.
	 * @param value the text, checked as {@link Identifier} tells
	 * @return the identifier
	 */
	@JsonCreator
	public static LineId of(String value) {
		return new LineId(value);
	}

}
