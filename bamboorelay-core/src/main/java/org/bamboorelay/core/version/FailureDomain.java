package org.bamboorelay.core.version;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * Name of a failure domain: a set of hosts and endpoints that can fail together.
 * <p>
 * Immutable and thread-safe.
 */
public final class FailureDomain extends Identifier {

	private FailureDomain(String value) {
		super(value);
	}

	/**
	 * Creates an identifier.
	 * @param value the text, in the format that {@link Identifier} describes
	 * @return the identifier
	 */
	@JsonCreator
	public static FailureDomain of(String value) {
		return new FailureDomain(value);
	}

}
