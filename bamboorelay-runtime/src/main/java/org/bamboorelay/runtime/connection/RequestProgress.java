package org.bamboorelay.runtime.connection;

import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;

/**
 * Measures the progress of a request by the clock, however many reads it takes.
 * <p>
 * Must be used by one thread; the phase and its start may be read by others.
 */
final class RequestProgress {

	/**
	 * Maximum time to read the rest of a body before its request is refused, in
	 * milliseconds: several round trips, after which the refusal must not wait.
	 */
	private static final long DISCARD_MILLIS = 100;

	private volatile Phase phase = Phase.IDLE;

	private volatile long phaseStartNanos = System.nanoTime();

	private long lastReadNanos = System.nanoTime();

	private long phaseBytes;

	void enter(Phase next) {
		long now = System.nanoTime();
		this.phaseStartNanos = now;
		this.lastReadNanos = now;
		this.phaseBytes = 0;
		this.phase = next;
	}

	void onRead(int count) {
		this.lastReadNanos = System.nanoTime();
		this.phaseBytes += count;
	}

	Phase phase() {
		return this.phase;
	}

	long phaseStartNanos() {
		return this.phaseStartNanos;
	}

	// Returns the number of bytes that were read in the current phase.
	long phaseBytes() {
		return this.phaseBytes;
	}

	// Returns the time until the current phase exceeds its limit.
	long remainingMillis(ListenerLimits limits) {
		long now = System.nanoTime();
		long phaseMillis = TimeUnit.NANOSECONDS.toMillis(now - this.phaseStartNanos);
		long stalledMillis = TimeUnit.NANOSECONDS.toMillis(now - this.lastReadNanos);
		return switch (this.phase) {
			case IDLE -> limits.idleTimeoutMillis() - phaseMillis;
			case HEAD -> limits.headerTimeoutMillis() - phaseMillis;
			case DISCARD -> DISCARD_MILLIS - phaseMillis;
			case BODY -> Math.min(limits.idleTimeoutMillis() - stalledMillis, rateMillis(limits) - phaseMillis);
		};
	}

	// Returns the failure of a phase that exceeds its limit.
	SocketTimeoutException timeout(ListenerLimits limits) {
		return new SocketTimeoutException((this.phase == Phase.HEAD)
				? "the request head exceeds header_timeout_ms = " + limits.headerTimeoutMillis()
				: "the request exceeds idle_timeout_ms = " + limits.idleTimeoutMillis()
						+ " or falls below min_body_bytes_per_second = " + limits.minBodyBytesPerSecond());
	}

	// Returns the time after which a body that arrived so far is too slow.
	private long rateMillis(ListenerLimits limits) {
		long rate = limits.minBodyBytesPerSecond();
		return (rate == 0) ? Long.MAX_VALUE
				: limits.idleTimeoutMillis() + this.phaseBytes * TimeUnit.SECONDS.toMillis(1) / rate;
	}

	/** What a connection reads. */
	enum Phase {

		/** Waits for a request. */
		IDLE,

		/** Receives a head. */
		HEAD,

		/** Receives a body, or sends the response. */
		BODY,

		/** Reads the rest of a body before its request is refused. */
		DISCARD

	}

}
