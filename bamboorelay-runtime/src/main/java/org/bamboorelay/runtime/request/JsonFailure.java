package org.bamboorelay.runtime.request;

import org.bamboorelay.core.failure.Failure;

/**
 * A body that is not valid JSON of the expected type.
 * <p>
 * Immutable and thread-safe.
 *
 * @param detail human-readable description of the error
 */
public record JsonFailure(String detail) implements Failure {

	@Override
	public String code() {
		return "bad-json";
	}

}
