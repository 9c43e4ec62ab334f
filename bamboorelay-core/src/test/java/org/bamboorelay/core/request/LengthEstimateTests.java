package org.bamboorelay.core.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against endpoints ordered for expected lengths whose unit is smaller than an
 * event.
 */
class LengthEstimateTests {

	private final LengthEstimate lengths = new LengthEstimate();

	@Test
	void expectedLengthCountsOnlyOnceItsUnitIsKnown() {
		assertThat(this.lengths.remainingEvents(2_000, 0)).isEqualTo(20);
		for (int item = 0; item < 40; item++) {
			this.lengths.onCompleted((item % 2 == 0) ? 100 : 300, (item % 2 == 0) ? 6 : 14);
		}
		assertThat(this.lengths.remainingEvents(400, 0)).isCloseTo(20, within(1.0));
		assertThat(this.lengths.remainingEvents(400, 15)).isCloseTo(5, within(1.0));
		assertThat(this.lengths.remainingEvents(400, 500)).isEqualTo(1);
		assertThat(this.lengths.remainingEvents(0, 0)).isCloseTo(10, within(1.0));
	}

}
