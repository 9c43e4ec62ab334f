package org.bamboorelay.host.process;

/**
 * Options that the operator of a deployment chooses for its hosts, read from a TOML file.
 * Each component is a table of the file and may be absent, in which case its defaults
 * apply.
 * <p>
 * Immutable and thread-safe.
 */
public record HostOptions() {

	/** The options of a host without a file. */
	public static final HostOptions DEFAULTS = new HostOptions();

}
