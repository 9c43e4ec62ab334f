package org.bamboorelay.core.version;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * Name of a service: a set of interchangeable endpoints.
 * <p>
 * Immutable and thread-safe.
 */
public final class ServiceId extends Identifier {

	private ServiceId(String value) {
		super(value);
	}

	/**
	 * Creates an identifier.
	 * @param value the text, in the format that {@link Identifier} describes
	 * @return the identifier
	 */
	@JsonCreator
	public static ServiceId of(String value) {
		return new ServiceId(value);
	}

}
