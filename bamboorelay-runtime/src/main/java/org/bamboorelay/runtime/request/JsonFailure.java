package org.bamboorelay.runtime.request;

import org.bamboorelay.core.failure.Failure;

/**
 * A body that is not the JSON that was expected.
 * <p>
 * Immutable and thread-safe.
 *
 * @param detail what is wrong
 */
public record JsonFailure(String detail) implements Failure {

	@Override
	public String code() {
		return "bad-json";
	}

}
