package org.bamboorelay.core.time;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Clock that only advances when {@link #advance} is called, for tests, scenarios and
 * simulations.
 * <p>
 * Thread-safe.
 */
public final class ManualClock implements Clock {

	private final AtomicLong currentMillis;

	private ManualClock(long startMillis) {
		this.currentMillis = new AtomicLong(startMillis);
	}

	/**
	 * Creates a clock.
	 * @param startMillis the initial time, in milliseconds
	 * @return the clock
	 */
	public static ManualClock of(long startMillis) {
		return new ManualClock(startMillis);
	}

	@Override
	public long millis() {
		return this.currentMillis.get();
	}

	/**
	 * Advances the clock.
	 * @param millis the amount in milliseconds, not negative
	 */
	public void advance(long millis) {
		if (millis < 0) {
			throw new IllegalArgumentException("clock cannot be moved back by " + -millis + " ms");
		}
		this.currentMillis.addAndGet(millis);
	}

}
