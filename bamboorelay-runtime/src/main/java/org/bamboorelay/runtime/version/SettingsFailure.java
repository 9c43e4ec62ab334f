package org.bamboorelay.runtime.version;

import org.bamboorelay.core.failure.Failure;

/**
 * An error in a settings file.
 * <p>
 * Immutable and thread-safe.
 *
 * @param file the file
 * @param line the line, counted from 1; 0 if unknown
 * @param key path of the key, with dots between tables; empty if unknown
 * @param found the value that was found
 * @param allowed description of the allowed values
 */
public record SettingsFailure(String file, int line, String key, String found, String allowed) implements Failure {

	@Override
	public String code() {
		return "bad-settings";
	}

	@Override
	public String detail() {
		return this.file + ":" + this.line + ": " + this.key + ": found \"" + this.found + "\", allowed: "
				+ this.allowed;
	}

}
