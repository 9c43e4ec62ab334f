package org.bamboorelay.core.time;

/**
 * Source of time in milliseconds.
 * <p>
 * Decisions take their time from this type only, so that tests and simulations control
 * it. Readings of a monotonic clock are comparable within one process only.
 * <p>
 * Implementations are thread-safe.
 */
@FunctionalInterface
public interface Clock {

	/**
	 * Returns a clock that never goes back and ignores changes of the wall-clock time.
	 * @return the monotonic clock of this process
	 */
	static Clock monotonic() {
		return () -> System.nanoTime() / 1_000_000L;
	}

	/**
	 * Returns the wall clock, for values that people or other processes read.
	 * @return the wall clock, in milliseconds since the epoch
	 */
	static Clock wall() {
		return System::currentTimeMillis;
	}

	/**
	 * Returns the present time.
	 * @return the time in milliseconds
	 */
	long millis();

}
