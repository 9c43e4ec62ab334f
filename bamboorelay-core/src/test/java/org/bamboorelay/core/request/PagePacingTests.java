package org.bamboorelay.core.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PagePacing}.
 */
class PagePacingTests {

	/** Results that end evenly over a step, as on a calm day of a grown deployment. */
	private static final int RESULTS = 100;

	private static final long STEP_MILLIS = 4_000;

	@Test
	void resultsOfAStepShareFewPages() {
		// Pages each 120 ms were most of the calls to the platform.
		int pages = 0;
		int waiting = 0;
		long last = 0;
		for (int result = 1; result <= RESULTS; result++) {
			long now = result * STEP_MILLIS / RESULTS;
			waiting++;
			if (PagePacing.isDue(waiting, RESULTS - result, now - last)) {
				pages++;
				waiting = 0;
				last = now;
			}
		}
		assertThat(waiting).as("results not listed at the end").isZero();
		assertThat(pages).isLessThanOrEqualTo((int) (STEP_MILLIS / PagePacing.PAGE_MILLIS) + 1);
	}

	@Test
	void lastResultsAreNotHeldBack() {
		assertThat(PagePacing.isDue(1, 0, 0)).isTrue();
		assertThat(PagePacing.isDue(1, 1, 0)).isFalse();
		assertThat(PagePacing.isDue(0, 0, 10_000)).isFalse();
		assertThat(PagePacing.isDue(1, 0, -1)).as("during the pause after a failure").isFalse();
	}

}
