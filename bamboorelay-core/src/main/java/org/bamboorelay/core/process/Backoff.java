package org.bamboorelay.core.process;

import java.util.function.DoubleSupplier;

/**
 * Waits that double with each failure, spread by jitter so that processes do not return
 * together after an outage.
 * <p>
 * Not thread-safe; each decision has its own under its lock.
 */
public final class Backoff {

	private static final int MAX_DOUBLINGS = 16;

	private final long baseMillis;

	private final long capMillis;

	private final DoubleSupplier random;

	private int failures;

	private Backoff(long baseMillis, long capMillis, DoubleSupplier random) {
		if (baseMillis <= 0 || capMillis < baseMillis) {
			throw new IllegalArgumentException("bad bounds of a backoff: " + baseMillis + " to " + capMillis + " ms");
		}
		this.baseMillis = baseMillis;
		this.capMillis = capMillis;
		this.random = random;
	}

	/**
	 * Creates a backoff.
	 * @param baseMillis the first wait, in milliseconds
	 * @param capMillis the longest wait, in milliseconds
	 * @param random returns numbers from 0 to below 1
	 * @return the backoff
	 */
	public static Backoff of(long baseMillis, long capMillis, DoubleSupplier random) {
		return new Backoff(baseMillis, capMillis, random);
	}

	/**
	 * Notes a success.
	 */
	public void reset() {
		this.failures = 0;
	}

	/**
	 * Notes a failure.
	 * @return the wait until the next try, half to all of the doubled wait, in
	 * milliseconds
	 */
	public long failed() {
		long full = Math.min(this.capMillis, this.baseMillis << Math.min(this.failures, MAX_DOUBLINGS));
		this.failures++;
		return full / 2 + (long) (this.random.getAsDouble() * (full - full / 2));
	}

}
