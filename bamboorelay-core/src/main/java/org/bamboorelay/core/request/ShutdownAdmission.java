package org.bamboorelay.core.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.bamboorelay.core.time.Clock;

/**
 * Decides which requests a host still accepts while it shuts down. A request that may run
 * beyond the end of the process would be cut without an answer, so it is better sent to
 * another host at once. How long a request may run is estimated from the recent requests
 * of its route.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class ShutdownAdmission {

	/** Factor by which a request may run longer than recent ones of its route. */
	private static final double SAFETY_FACTOR = 1.5;

	/**
	 * Factor by which the longest recent duration of a route shrinks with each further
	 * request, so that it follows the present load.
	 */
	private static final double DECAY_FACTOR = 0.98;

	/**
	 * Time after the start of the shutdown in which the duration of streams is estimated,
	 * in milliseconds. Callers that come later have been told to go to another host.
	 */
	private static final long STREAM_ESTIMATE_MILLIS = 3_000;

	/** Maximum number of routes whose durations are kept. */
	private static final int MAX_ROUTES = 1_024;

	private final Clock clock;

	private final Map<String, Double> longestMillis = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
			return size() > MAX_ROUTES;
		}

	};

	private long startMillis;

	private long endMillis = Long.MAX_VALUE;

	private ShutdownAdmission(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Creates the state of a host that is not shutting down, which accepts all requests.
	 * @param clock the monotonic clock of the process
	 * @return the state
	 */
	public static ShutdownAdmission of(Clock clock) {
		return new ShutdownAdmission(clock);
	}

	/**
	 * Records how long a request ran.
	 * @param route the name of its route
	 * @param durationMillis the time from its arrival to the end of its response, in
	 * milliseconds
	 */
	public synchronized void onServed(String route, long durationMillis) {
		this.longestMillis.merge(route, (double) durationMillis,
				(longest, duration) -> Math.max(duration, longest * DECAY_FACTOR));
	}

	/**
	 * Starts the shutdown.
	 * @param endMillis the time at which the process ends, in milliseconds of the clock
	 */
	public synchronized void begin(long endMillis) {
		this.startMillis = this.clock.millis();
		this.endMillis = endMillis;
	}

	/**
	 * Returns the time by which all requests must have been answered.
	 * @return the time at which the process ends, in milliseconds of the clock;
	 * {@link Long#MAX_VALUE} if the host is not shutting down
	 */
	public synchronized long endMillis() {
		return this.endMillis;
	}

	/**
	 * Returns whether to accept a stream. A stream that has begun can only be cut when
	 * the process ends, so a late one is not accepted by an estimate.
	 * @param route the name of its route
	 * @param allowedMillis the maximum duration of the stream, in milliseconds
	 * @return whether the stream is expected to end before the process does
	 */
	public synchronized boolean admitsStream(String route, long allowedMillis) {
		if (this.endMillis != Long.MAX_VALUE && this.clock.millis() - this.startMillis >= STREAM_ESTIMATE_MILLIS) {
			return allowedMillis <= this.endMillis - this.clock.millis();
		}
		return admits(route, allowedMillis);
	}

	/**
	 * Returns whether to accept a request that is answered in any case when the process
	 * ends.
	 * @param route the name of its route
	 * @param allowedMillis the maximum duration of the request, in milliseconds
	 * @return whether the request is expected to end before the process does
	 */
	public synchronized boolean admits(String route, long allowedMillis) {
		if (this.endMillis == Long.MAX_VALUE) {
			return true;
		}
		Double longest = this.longestMillis.get(route);
		double expectedMillis = (longest != null) ? Math.min(allowedMillis, longest * SAFETY_FACTOR) : allowedMillis;
		return expectedMillis <= this.endMillis - this.clock.millis();
	}

}
