package org.bamboorelay.core.time;

import java.util.Objects;

/**
 * Monotonic clock that also counts the time in which the machine was suspended. The JDK's
 * monotonic clock stops then, so a lease would seem to last. A jump of the wall clock
 * against the monotonic one is taken for a suspension; where it was a correction of the
 * wall clock instead, leases only end early.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class SuspendAwareClock implements Clock {

	/** Differences below this are the drift of two clocks, in milliseconds. */
	private static final long JUMP_MILLIS = 200;

	private final Clock monotonic;

	private final Clock wall;

	private long offset;

	private long added;

	private SuspendAwareClock(Clock monotonic, Clock wall) {
		this.monotonic = Objects.requireNonNull(monotonic, "monotonic");
		this.wall = Objects.requireNonNull(wall, "wall");
		this.offset = wall.millis() - monotonic.millis();
	}

	/**
	 * Creates a clock.
	 * @param monotonic a clock that stops while the machine is suspended
	 * @param wall the wall clock
	 * @return the clock
	 */
	public static SuspendAwareClock of(Clock monotonic, Clock wall) {
		return new SuspendAwareClock(monotonic, wall);
	}

	@Override
	public synchronized long millis() {
		long now = this.monotonic.millis();
		long jump = this.wall.millis() - now - this.offset;
		if (jump > JUMP_MILLIS) {
			this.added += jump;
		}
		if (Math.abs(jump) > JUMP_MILLIS) {
			this.offset += jump;
		}
		return now + this.added;
	}

}
