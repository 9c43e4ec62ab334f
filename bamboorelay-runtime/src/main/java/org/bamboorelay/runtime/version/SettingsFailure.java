package org.bamboorelay.runtime.version;

import org.bamboorelay.core.failure.Failure;

/**
 * A settings file that cannot be used.
 * <p>
 * Immutable and thread-safe.
 *
 * @param file the file
 * @param line the line, counted from 1; 0 where it is not known
 * @param key the key, with dots between tables; empty where it is not known
 * @param found the value that was found
 * @param allowed what is allowed
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
