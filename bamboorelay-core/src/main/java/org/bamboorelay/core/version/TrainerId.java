package org.bamboorelay.core.version;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * Name of a trainer.
 * <p>
 * Immutable and thread-safe.
 */
public final class TrainerId extends Identifier {

	private TrainerId(String value) {
		super(value);
	}

	/**
	 * Creates an identifier.
	 * @param value the text, in the format that {@link Identifier} describes
	 * @return the identifier
	 */
	@JsonCreator
	public static TrainerId of(String value) {
		return new TrainerId(value);
	}

}
