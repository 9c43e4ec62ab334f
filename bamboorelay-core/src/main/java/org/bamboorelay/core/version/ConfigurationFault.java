package org.bamboorelay.core.version;

import java.util.Objects;

import org.bamboorelay.core.failure.Failure;

/**
 * A value in settings, an inventory or rules that is not allowed.
 * <p>
 * Immutable and thread-safe.
 *
 * @param key the key, with dots between tables
 * @param found the value that was found
 * @param allowed what is allowed
 */
public record ConfigurationFault(String key, String found, String allowed) implements Failure {

	public ConfigurationFault {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(found, "found");
		Objects.requireNonNull(allowed, "allowed");
	}

	@Override
	public String code() {
		return "configuration-fault";
	}

	@Override
	public String detail() {
		return this.key + ": found \"" + this.found + "\", allowed: " + this.allowed;
	}

}
