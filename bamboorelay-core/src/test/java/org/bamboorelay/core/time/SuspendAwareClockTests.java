package org.bamboorelay.core.time;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link SuspendAwareClock}.
 */
class SuspendAwareClockTests {

	private final ManualClock monotonic = ManualClock.of(1_000);

	private final ManualClock wall = ManualClock.of(500_000);

	private final SuspendAwareClock clock = SuspendAwareClock.of(this.monotonic, this.wall);

	@Test
	void clockIncludesSuspendedTime() {
		// Without this, a holder that was suspended for longer than its lease would
		// consider it valid.
		long before = this.clock.millis();
		this.wall.advance(4_000);
		assertThat(this.clock.millis() - before).isEqualTo(4_000);
	}

	@Test
	void clockAdvancesOnceIfBothClocksAdvance() {
		long before = this.clock.millis();
		for (int tick = 0; tick < 100; tick++) {
			this.monotonic.advance(50);
			this.wall.advance(50);
			this.clock.millis();
		}
		assertThat(this.clock.millis() - before).isEqualTo(5_000);
	}

	@Test
	void clockNeverGoesBackIfWallClockDoes() {
		SuspendAwareClock other = SuspendAwareClock.of(this.monotonic, () -> 500_000 - this.monotonic.millis());
		long last = other.millis();
		for (int tick = 0; tick < 50; tick++) {
			this.monotonic.advance(100);
			assertThat(other.millis()).isGreaterThan(last);
			last = other.millis();
		}
	}

}
