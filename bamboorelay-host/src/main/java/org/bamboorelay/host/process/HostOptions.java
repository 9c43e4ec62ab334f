package org.bamboorelay.host.process;

import org.bamboorelay.core.request.HedgingSettings;
import org.jspecify.annotations.Nullable;

/**
 * Options that the operator of a deployment chooses for its hosts, read from a TOML file.
 * Each component is a table of the file and may be absent, in which case its defaults
 * apply.
 * <p>
 * Immutable and thread-safe.
 *
 * @param hedging the options for hedged requests; null if requests are not hedged
 * @param scheduling the options for decisions under load; null for their defaults
 * @param memory the memory used for callers; null for its defaults
 * @param connections the connections of callers; null for their defaults
 */
public record HostOptions(@Nullable HedgingSettings hedging, @Nullable SchedulingOptions scheduling,
		@Nullable MemoryOptions memory, @Nullable ConnectionOptions connections) {

	/** The options of a host without a file. */
	public static final HostOptions DEFAULTS = new HostOptions(null, null, null, null);

	/**
	 * Returns the options for decisions under load.
	 * @return the options, or their defaults if the table is absent
	 */
	public SchedulingOptions schedulingOrDefaults() {
		return (this.scheduling != null) ? this.scheduling : SchedulingOptions.DEFAULTS;
	}

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
