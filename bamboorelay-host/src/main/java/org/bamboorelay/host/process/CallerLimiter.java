package org.bamboorelay.host.process;

import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

import org.bamboorelay.core.process.ConnectionBound;
import org.bamboorelay.core.process.MemoryAccount;
import org.bamboorelay.core.process.MemoryOrigin;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.CallerLimits;
import org.bamboorelay.core.version.RoutingTable;
import org.bamboorelay.runtime.connection.HttpListener;
import org.bamboorelay.runtime.connection.ListenerLimits;
import org.bamboorelay.runtime.connection.ListenerOptions;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the memory and the connections that callers occupy, and reports when they are
 * refused for it.
 * <p>
 * Thread-safe, except for {@link #check}, which one thread calls.
 */
final class CallerLimiter {

	/** Limits that apply until the routes have been read. */
	private static final CallerLimits DEFAULT_LIMITS = new CallerLimits(16_384, 33_554_432, 3_000, 15_000);

	/**
	 * Number of bytes of an unread body that are read after its request was answered, so
	 * that refused callers of ordinary size keep their connections.
	 */
	private static final long MAX_DISCARDED_BYTES = 65_536;

	/**
	 * Time without a refused connection after which refusing counts as ended, in
	 * milliseconds.
	 */
	private static final long QUIET_MILLIS = 2_000;

	private final Supplier<@Nullable RoutingTable> routing;

	private final ConnectionOptions options;

	private final MemoryAccount memory;

	private final int maxConnections;

	private final Clock clock;

	private final Counters counters;

	private final EventLog log;

	private boolean loggedMemory;

	private boolean loggedConnections;

	private long knownRefusedConnections;

	private long lastRefusedMillis;

	CallerLimiter(HostSettings settings, HostOptions options, Supplier<@Nullable RoutingTable> routing, Clock clock,
			Counters counters, EventLog log) {
		long heapBytes = Runtime.getRuntime().maxMemory();
		this.routing = Objects.requireNonNull(routing, "routing");
		this.options = options.connectionsOrDefault();
		MemoryOptions memoryOptions = options.memoryOrDefault();
		this.memory = MemoryAccount.of((long) (heapBytes * memoryOptions.callerShare()),
				(long) (heapBytes * memoryOptions.totalShare()), clock);
		this.maxConnections = (this.options.maxConnections() > 0) ? this.options.maxConnections()
				: ConnectionBound.connections(settings.maxDescriptors(), settings.memoryBytes(), heapBytes);
		this.clock = clock;
		this.counters = counters;
		this.log = log;
		counters.gauge("memory_limit_bytes", this.memory::maxBytes);
		counters.gauge("memory_highest_bytes", this.memory::highestBytes);
		for (MemoryOrigin origin : MemoryOrigin.values()) {
			counters.gauge("memory_held_bytes{origin=\"" + origin.code() + "\"}", () -> this.memory.heldBytes(origin));
		}
		for (MemoryOrigin origin : List.of(MemoryOrigin.CALLER_REQUESTS, MemoryOrigin.CALLER_RESPONSES)) {
			counters.gauge("memory_refused_bytes{origin=\"" + origin.code() + "\"}",
					() -> this.memory.refusedBytes(origin));
		}
	}

	MemoryAccount memory() {
		return this.memory;
	}

	// Returns the options of the listener for callers.
	ListenerOptions callerOptions() {
		return new ListenerOptions(this::limits, this.maxConnections, this.memory);
	}

	// Returns the options of the listeners for readiness and metrics.
	ListenerOptions probeOptions() {
		return ListenerOptions.small(this.memory);
	}

	// Registers the metrics of the listener for callers.
	void observe(HttpListener listener) {
		this.counters.gauge("caller_connections", listener::connections);
		this.counters.gauge("caller_connections_limit", () -> this.maxConnections);
		this.counters.gauge("caller_connections_refused_total", listener::refusedConnections);
		this.counters.gauge("caller_connections_idle_closed_total", listener::closedIdleConnections);
	}

	// Makes room for bytes of other origins, and logs when refusing begins and ends.
	void check(HttpListener listener) {
		this.memory.trim();
		boolean refusing = this.memory.isRefusing();
		if (refusing != this.loggedMemory) {
			this.loggedMemory = refusing;
			this.log.warn(refusing ? "memory-refusing" : "memory-available", "held_bytes", this.memory.heldBytes(),
					"limit_bytes", this.memory.maxBytes(), "refused_bytes",
					this.memory.refusedBytes(MemoryOrigin.CALLER_REQUESTS));
		}
		long refused = listener.refusedConnections();
		if (refused != this.knownRefusedConnections) {
			this.knownRefusedConnections = refused;
			this.lastRefusedMillis = this.clock.millis();
		}
		boolean refusingConnections = refused > 0 && this.clock.millis() - this.lastRefusedMillis < QUIET_MILLIS;
		if (refusingConnections != this.loggedConnections) {
			this.loggedConnections = refusingConnections;
			this.log.warn(refusingConnections ? "connections-refusing" : "connections-available", "open",
					listener.connections(), "limit", this.maxConnections, "refused", refused);
		}
	}

	private ListenerLimits limits() {
		RoutingTable table = this.routing.get();
		CallerLimits limits = (table != null) ? table.limits() : DEFAULT_LIMITS;
		return new ListenerLimits(positive(limits.maxHeaderBytes(), DEFAULT_LIMITS.maxHeaderBytes()),
				positive(limits.headerTimeoutMillis(), DEFAULT_LIMITS.headerTimeoutMillis()),
				limits.idleTimeoutMillis(), this.options.minBodyBytesPerSecond(), this.options.writeTimeoutMillis(),
				MAX_DISCARDED_BYTES);
	}

	// A configuration may set these limits to 0.
	private static long positive(long value, long defaultValue) {
		return (value > 0) ? value : defaultValue;
	}

}
