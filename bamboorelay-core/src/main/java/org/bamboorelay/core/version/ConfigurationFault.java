package org.bamboorelay.core.version;

import java.util.Objects;

import org.bamboorelay.core.failure.Failure;

/**
 * An invalid value in settings, an inventory or rules.
 * <p>
 * Immutable and thread-safe.
 *
 * @param key path of the key, with dots between tables
 * @param found the value that was found
 * @param allowed description of the allowed values
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
