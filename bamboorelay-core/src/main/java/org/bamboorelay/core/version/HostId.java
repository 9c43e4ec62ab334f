package org.bamboorelay.core.version;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * Name of an entry host.
 * <p>
 * Immutable and thread-safe.
 */
public final class HostId extends Identifier {

	private HostId(String value) {
		super(value);
	}

	/**
	 * Creates an identifier.
	 * @param value the text, in the format that {@link Identifier} describes
	 * @return the identifier
	 */
	@JsonCreator
	public static HostId of(String value) {
		return new HostId(value);
	}

}
