package org.bamboorelay.core.version;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * Name of an endpoint: one model engine or one plain HTTP server.
 * <p>
 * Immutable and thread-safe.
 */
public final class EndpointId extends Identifier {

	private EndpointId(String value) {
		super(value);
	}

	/**
	 * Creates an identifier.
	 * @param value the text, in the format that {@link Identifier} describes
	 * @return the identifier
	 */
	@JsonCreator
	public static EndpointId of(String value) {
		return new EndpointId(value);
	}

}
