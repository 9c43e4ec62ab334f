package org.bamboorelay.load.request;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Polls for conditions in other processes, which cannot be awaited directly.
 * <p>
 * Stateless and thread-safe.
 */
public final class Waiting {

	private static final long POLL_INTERVAL_MILLIS = 50;

	private Waiting() {
	}

	/**
	 * Polls a condition until it holds.
	 * @param timeoutMillis maximum wait, in milliseconds
	 * @param description awaited condition, for the error message
	 * @param condition the condition
	 * @return time until the condition held, in milliseconds
	 * @throws CheckFailedException if the condition does not hold within the timeout
	 */
	public static long until(long timeoutMillis, String description, BooleanSupplier condition) {
		long start = System.nanoTime();
		while (!condition.getAsBoolean()) {
			long waited = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
			Checks.require(waited < timeoutMillis, description + " not seen within " + timeoutMillis + " ms");
			pause(POLL_INTERVAL_MILLIS);
		}
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
	}

	/**
	 * Pauses the calling thread.
	 * @param durationMillis duration of the pause, in milliseconds
	 */
	public static void pause(long durationMillis) {
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(durationMillis));
	}

}
