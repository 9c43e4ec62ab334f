package org.bamboorelay.load.request;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Waits for a condition of another process, which can only be polled.
 * <p>
 * Stateless and thread-safe.
 */
public final class Waiting {

	private static final long POLL_MILLIS = 50;

	private Waiting() {
	}

	/**
	 * Polls a condition.
	 * @param limitMillis the longest wait, in milliseconds
	 * @param what what is waited for, for the message
	 * @param condition the condition
	 * @return the wait, in milliseconds
	 */
	public static long until(long limitMillis, String what, BooleanSupplier condition) {
		long start = System.nanoTime();
		while (!condition.getAsBoolean()) {
			long waited = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
			Checks.require(waited < limitMillis, what + " not seen within " + limitMillis + " ms");
			pause(POLL_MILLIS);
		}
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
	}

	/**
	 * Pauses the calling thread.
	 * @param millis how long, in milliseconds
	 */
	public static void pause(long millis) {
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
	}

}
