package org.bamboorelay.runtime.connection;

import java.util.Objects;
import java.util.function.Supplier;

import org.bamboorelay.core.process.MemoryAccount;

/**
 * Options of a listener.
 * <p>
 * Immutable and thread-safe.
 *
 * @param limits supplies the limits in force, which may change while the listener is open
 * @param maxConnections maximum number of open connections, each of which has a thread
 * @param memory the account in which the memory of requests is reserved
 */
public record ListenerOptions(Supplier<ListenerLimits> limits, int maxConnections, MemoryAccount memory) {

	/** Options of listeners that serve no uncontrolled callers. */
	public static final ListenerOptions DEFAULTS = new ListenerOptions(() -> ListenerLimits.DEFAULTS, Integer.MAX_VALUE,
			MemoryAccount.unlimited());

	/** Number of connections of a listener that serves only probes and collectors. */
	private static final int SMALL_CONNECTIONS = 32;

	public ListenerOptions {
		Objects.requireNonNull(limits, "limits");
		Objects.requireNonNull(memory, "memory");
		if (maxConnections <= 0) {
			throw new IllegalArgumentException("maxConnections must be positive: " + maxConnections);
		}
	}

	/**
	 * Returns the options of a listener that serves only small requests, such as probes.
	 * @param memory the account in which the memory of requests is reserved
	 * @return the options
	 */
	public static ListenerOptions small(MemoryAccount memory) {
		return new ListenerOptions(() -> ListenerLimits.SMALL, SMALL_CONNECTIONS, memory);
	}

}
