package org.bamboorelay.core.process;

import java.util.function.DoubleSupplier;

/**
 * Exponential backoff with jitter, which prevents processes from retrying simultaneously
 * after an outage.
 * <p>
 * Not thread-safe; each user has its own instance and guards it with its lock.
 */
public final class Backoff {

	private static final int MAX_DOUBLINGS = 16;

	private final long baseMillis;

	private final long capMillis;

	private final DoubleSupplier random;

	private int failures;

	private Backoff(long baseMillis, long capMillis, DoubleSupplier random) {
		if (baseMillis <= 0 || capMillis < baseMillis) {
			throw new IllegalArgumentException("invalid backoff bounds: " + baseMillis + " to " + capMillis + " ms");
		}
		this.baseMillis = baseMillis;
		this.capMillis = capMillis;
		this.random = random;
	}

	/**
	 * Creates a backoff.
	 * @param baseMillis the first delay, in milliseconds
	 * @param capMillis the maximum delay, in milliseconds
	 * @param random returns numbers from 0 (inclusive) to 1 (exclusive)
	 * @return the backoff
	 */
	public static Backoff of(long baseMillis, long capMillis, DoubleSupplier random) {
		return new Backoff(baseMillis, capMillis, random);
	}

	/**
	 * Resets the delay after a success.
	 */
	public void reset() {
		this.failures = 0;
	}

	/**
	 * Records a failure.
	 * @return the delay until the next attempt, in milliseconds; between half of the
	 * doubled delay and all of it
	 */
	public long nextDelayMillis() {
		long fullDelayMillis = Math.min(this.capMillis, this.baseMillis << Math.min(this.failures, MAX_DOUBLINGS));
		this.failures++;
		return fullDelayMillis / 2 + (long) (this.random.getAsDouble() * (fullDelayMillis - fullDelayMillis / 2));
	}

}
