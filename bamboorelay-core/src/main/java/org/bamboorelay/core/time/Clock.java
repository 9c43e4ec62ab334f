package org.bamboorelay.core.time;

/**
 * Source of time in milliseconds.
 * <p>
 * Code that makes decisions reads the time through this interface only, so that tests and
 * simulations can control it. Readings of a monotonic clock are comparable within one
 * process only.
 * <p>
 * Implementations are thread-safe.
 */
@FunctionalInterface
public interface Clock {

	/**
	 * Returns a clock that never goes backwards and is not affected by changes of the
	 * wall clock.
	 * @return the monotonic clock of this process
	 */
	static Clock monotonic() {
		return () -> System.nanoTime() / 1_000_000L;
	}

	/**
	 * Returns the wall clock, for values that are read by people or other processes.
	 * @return the wall clock, in milliseconds since the epoch
	 */
	static Clock wall() {
		return System::currentTimeMillis;
	}

	/**
	 * Returns the current time.
	 * @return the time in milliseconds
	 */
	long millis();

}
