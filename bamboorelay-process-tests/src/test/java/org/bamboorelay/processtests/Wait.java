package org.bamboorelay.processtests;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Waits for conditions of other processes, which can only be polled.
 * <p>
 * Stateless and thread-safe.
 */
final class Wait {

	/** Start of a process on a busy machine, in milliseconds. */
	static final long START_MILLIS = 30_000;

	/** "Seconds" of the design page, section 1.2, in milliseconds. */
	static final long BOUND_MILLIS = 5_000;

	/**
	 * Lease 6 s, 10%, longest order 2 s, 4 s more without fencing, and a renewal before
	 * and after; in milliseconds.
	 */
	static final long TAKEOVER_MILLIS = 12_600 + 4_000 + START_MILLIS;

	private static final long POLL_MILLIS = 20;

	private Wait() {
	}

	/**
	 * Polls a condition.
	 * @param limitMillis the longest wait, in milliseconds
	 * @param what what is waited for
	 * @param condition the condition
	 * @return the wait, in milliseconds
	 */
	static long until(long limitMillis, String what, BooleanSupplier condition) {
		long start = System.nanoTime();
		while (!condition.getAsBoolean()) {
			if (millisSince(start) >= limitMillis) {
				throw new AssertionError(what + " not seen within " + limitMillis + " ms");
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
		}
		return millisSince(start);
	}

	static long millisSince(long startNanos) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
	}

}
