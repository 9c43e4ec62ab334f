package org.bamboorelay.core.time;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Clock that moves only when told to, for tests, scenarios and simulations.
 * <p>
 * Thread-safe.
 */
public final class ManualClock implements Clock {

	private final AtomicLong now;

	private ManualClock(long startMillis) {
		this.now = new AtomicLong(startMillis);
	}

	/**
	 * Creates a clock.
	 * @param startMillis the first reading, in milliseconds
	 * @return the clock
	 */
	public static ManualClock of(long startMillis) {
		return new ManualClock(startMillis);
	}

	@Override
	public long millis() {
		return this.now.get();
	}

	/**
	 * Moves the clock forward.
	 * @param millis how far, in milliseconds, not negative
	 */
	public void advance(long millis) {
		if (millis < 0) {
			throw new IllegalArgumentException("a clock cannot go back by " + -millis + " ms");
		}
		this.now.addAndGet(millis);
	}

}
