package org.bamboorelay.processtests;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Polls conditions of other processes.
 * <p>
 * Stateless and thread-safe.
 */
final class Wait {

	/** Time-out for the start of a process on a loaded machine, in milliseconds. */
	static final long START_TIMEOUT_MILLIS = 30_000;

	/**
	 * Upper limit in milliseconds for everything that the design, in section 1.2,
	 * requires within "seconds".
	 */
	static final long PROPAGATION_LIMIT_MILLIS = 5_000;

	/**
	 * Time-out for a lease takeover in milliseconds: lease of 6 s plus 10%, longest order
	 * of 2 s, 4 s more without fencing, one renewal interval before and one after, and
	 * the start of a process.
	 */
	static final long TAKEOVER_TIMEOUT_MILLIS = 12_600 + 4_000 + START_TIMEOUT_MILLIS;

	private static final long POLL_INTERVAL_MILLIS = 20;

	private Wait() {
	}

	/**
	 * Polls a condition until it is true.
	 * @param limitMillis the time-out, in milliseconds
	 * @param description the description of the condition for the error message
	 * @param condition the condition
	 * @return the time waited, in milliseconds
	 * @throws AssertionError if the condition is not true within the time-out
	 */
	static long until(long limitMillis, String description, BooleanSupplier condition) {
		long start = System.nanoTime();
		while (!condition.getAsBoolean()) {
			if (millisSince(start) >= limitMillis) {
				throw new AssertionError(description + " not seen within " + limitMillis + " ms");
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MILLIS));
		}
		return millisSince(start);
	}

	static long millisSince(long startNanos) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
	}

}
