package org.bamboorelay.core.time;

import java.util.Objects;

/**
 * Monotonic clock that includes the time during which the machine was suspended. The
 * JDK's monotonic clock stops during a suspension, so that a lease would appear to be
 * valid after its expiry. A forward jump of the wall clock relative to the monotonic
 * clock is treated as a suspension. If it was an adjustment of the wall clock instead,
 * this clock runs ahead of real time, so it must be used only where too early is safe:
 * for the expiry of what this process holds, never for the silence of others.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class SuspendAwareClock implements Clock {

	/** Differences up to this are attributed to clock drift, in milliseconds. */
	private static final long MAX_DRIFT_MILLIS = 200;

	private final Clock monotonic;

	private final Clock wall;

	private long wallOffsetMillis;

	private long suspendedMillis;

	private SuspendAwareClock(Clock monotonic, Clock wall) {
		this.monotonic = Objects.requireNonNull(monotonic, "monotonic");
		this.wall = Objects.requireNonNull(wall, "wall");
		this.wallOffsetMillis = wall.millis() - monotonic.millis();
	}

	/**
	 * Creates a clock.
	 * @param monotonic a monotonic clock, which may stop while the machine is suspended
	 * @param wall the wall clock
	 * @return the clock
	 */
	public static SuspendAwareClock of(Clock monotonic, Clock wall) {
		return new SuspendAwareClock(monotonic, wall);
	}

	@Override
	public synchronized long millis() {
		long nowMillis = this.monotonic.millis();
		long jumpMillis = this.wall.millis() - nowMillis - this.wallOffsetMillis;
		if (jumpMillis > MAX_DRIFT_MILLIS) {
			this.suspendedMillis += jumpMillis;
		}
		if (Math.abs(jumpMillis) > MAX_DRIFT_MILLIS) {
			this.wallOffsetMillis += jumpMillis;
		}
		return nowMillis + this.suspendedMillis;
	}

}
