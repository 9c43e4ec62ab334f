package org.bamboorelay.core.version;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * Name of a failure domain: hosts and endpoints that fail together.
 * <p>
 * Immutable and thread-safe.
 */
public final class FailureDomain extends Identifier {

	private FailureDomain(String value) {
		super(value);
	}

	/**
	 * Creates an identifier.
	 * @param value the text, checked as {@link Identifier} tells
	 * @return the identifier
	 */
	@JsonCreator
	public static FailureDomain of(String value) {
		return new FailureDomain(value);
	}

}
