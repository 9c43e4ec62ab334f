package org.bamboorelay.core.version;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * Name of an endpoint: one model engine or one plain server.
 * <p>
 * Immutable and thread-safe.
 */
public final class EndpointId extends Identifier {

	private EndpointId(String value) {
		super(value);
	}

	/**
	 * Creates an identifier.
	 * @param value the text, checked as {@link Identifier} tells
	 * @return the identifier
	 */
	@JsonCreator
	public static EndpointId of(String value) {
		return new EndpointId(value);
	}

}
