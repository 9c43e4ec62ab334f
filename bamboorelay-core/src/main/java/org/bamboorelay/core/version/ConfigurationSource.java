package org.bamboorelay.core.version;

import java.util.function.Consumer;

import io.vavr.control.Option;

/**
 * The configuration in force at this host.
 * <p>
 * Implementations are thread-safe.
 */
public interface ConfigurationSource {

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or nothing before the first one
	 */
	Option<Configuration> current();

	/**
	 * Registers a listener for each later version, called in order of versions.
	 * @param listener must not block
	 */
	void onChange(Consumer<Configuration> listener);

}
