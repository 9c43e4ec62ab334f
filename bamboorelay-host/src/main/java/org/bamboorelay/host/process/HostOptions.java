package org.bamboorelay.host.process;

import org.jspecify.annotations.Nullable;

/**
 * Options that the operator of a deployment chooses for its hosts, read from a TOML file.
 * Each component is a table of the file and may be absent, in which case its defaults
 * apply.
 * <p>
 * Immutable and thread-safe.
 *
 * @param memory the memory used for callers
 * @param connections the connections of callers
 */
public record HostOptions(@Nullable MemoryOptions memory, @Nullable ConnectionOptions connections) {

	/** The options of a host without a file. */
	public static final HostOptions DEFAULTS = new HostOptions(null, null);

	/**
	 * Returns the options for the memory used for callers.
	 * @return the options of the file, or the defaults
	 */
	MemoryOptions memoryOrDefault() {
		return (this.memory != null) ? this.memory : MemoryOptions.DEFAULTS;
	}

	/**
	 * Returns the options for the connections of callers.
	 * @return the options of the file, or the defaults
	 */
	ConnectionOptions connectionsOrDefault() {
		return (this.connections != null) ? this.connections : ConnectionOptions.DEFAULTS;
	}

}
