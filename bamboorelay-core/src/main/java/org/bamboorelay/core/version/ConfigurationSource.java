package org.bamboorelay.core.version;

import java.util.function.Consumer;

import io.vavr.control.Option;

/**
 * Provides the active configuration of this host.
 * <p>
 * Implementations are thread-safe.
 */
public interface ConfigurationSource {

	/**
	 * Returns the active configuration.
	 * @return the configuration, or none before the first version became active
	 */
	Option<Configuration> current();

	/**
	 * Registers a listener that is called with each version that becomes active from now
	 * on, in ascending order.
	 * @param listener the listener, which must not block
	 */
	void onChange(Consumer<Configuration> listener);

}
