package org.bamboorelay.core.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PageWritePolicy}.
 */
class PageWritePolicyTests {

	/**
	 * Number of results, evenly spread over a step, as in a large deployment under normal
	 * load.
	 */
	private static final int RESULTS = 100;

	private static final long STEP_MILLIS = 4_000;

	@Test
	void resultsOfAStepAreWrittenInFewPages() {
		// With a page every 120 ms, pages made up most of the calls to the platform.
		int pages = 0;
		int unlisted = 0;
		long lastPageMillis = 0;
		for (int result = 1; result <= RESULTS; result++) {
			long nowMillis = result * STEP_MILLIS / RESULTS;
			unlisted++;
			if (PageWritePolicy.isDue(unlisted, RESULTS - result, nowMillis - lastPageMillis)) {
				pages++;
				unlisted = 0;
				lastPageMillis = nowMillis;
			}
		}
		assertThat(unlisted).as("results not listed at the end").isZero();
		assertThat(pages).isLessThanOrEqualTo((int) (STEP_MILLIS / PageWritePolicy.PAGE_INTERVAL_MILLIS) + 1);
	}

	@Test
	void pageIsDueImmediatelyWhenNoItemIsPending() {
		assertThat(PageWritePolicy.isDue(1, 0, 0)).isTrue();
		assertThat(PageWritePolicy.isDue(1, 1, 0)).isFalse();
		assertThat(PageWritePolicy.isDue(0, 0, 10_000)).isFalse();
		assertThat(PageWritePolicy.isDue(1, 0, -1)).as("during the pause after a failure").isFalse();
	}

}
