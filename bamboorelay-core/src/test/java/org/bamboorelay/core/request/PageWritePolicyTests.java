package org.bamboorelay.core.request;

import java.util.List;

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

	/** Pause of a trainer between two reads, in milliseconds. */
	private static final long READ_PAUSE_MILLIS = 500;

	/** Interval between two checks whether a page is due, in milliseconds. */
	private static final long CHECK_INTERVAL_MILLIS = 20;

	@Test
	void resultsOfAStepAreWrittenInFewPages() {
		// With a page every 120 ms, pages made up most of the calls to the platform.
		int pages = 0;
		int unlisted = 0;
		long oldestMillis = 0;
		for (int result = 1; result <= RESULTS; result++) {
			long nowMillis = result * STEP_MILLIS / RESULTS;
			oldestMillis = (unlisted == 0) ? nowMillis : oldestMillis;
			unlisted++;
			if (PageWritePolicy.isDue(unlisted, result == RESULTS, nowMillis - oldestMillis)) {
				pages++;
				unlisted = 0;
			}
		}
		assertThat(unlisted).as("results not listed at the end").isZero();
		assertThat(pages).isLessThanOrEqualTo((int) (STEP_MILLIS / PageWritePolicy.MAX_HOLD_MILLIS) + 1);
	}

	@Test
	void pageIsDueImmediatelyWhenTheTrainerWaitsForIt() {
		assertThat(PageWritePolicy.isDue(1, true, 0)).isTrue();
		assertThat(PageWritePolicy.isDue(1, false, 0)).isFalse();
		assertThat(PageWritePolicy.isDue(1, false, PageWritePolicy.MAX_HOLD_MILLIS)).isTrue();
		assertThat(PageWritePolicy.isDue(0, true, 10_000)).isFalse();
	}

	/**
	 * The longest texts of a step reach the maximum length and end within a tenth of a
	 * second of each other. If the first of them is listed alone, the trainer reads it
	 * and pauses while the others are listed.
	 */
	@Test
	void trainerReadsTheLastResultsOfAStepAtOnce() {
		List<Long> availableMillis = List.of(800L, 1_500L, 2_050L, 3_050L, 4_200L, 5_360L, 6_710L, 6_750L, 6_770L);
		assertThat(lastReadMillis(availableMillis) - 6_770).isLessThanOrEqualTo(CHECK_INTERVAL_MILLIS);
	}

	// Returns when a trainer that waits for results, and pauses after each read that
	// returned some, has read all results.
	private static long lastReadMillis(List<Long> availableMillis) {
		int listed = 0;
		int read = 0;
		long nextReadMillis = 0;
		for (long now = 0;; now += CHECK_INTERVAL_MILLIS) {
			long time = now;
			int available = (int) availableMillis.stream().filter((millis) -> millis <= time).count();
			boolean awaited = available == availableMillis.size();
			if (available > listed
					&& PageWritePolicy.isDue(available - listed, awaited, now - availableMillis.get(listed))) {
				listed = available;
			}
			if (listed > read && now >= nextReadMillis) {
				read = listed;
				nextReadMillis = now + READ_PAUSE_MILLIS;
				if (read == availableMillis.size()) {
					return now;
				}
			}
		}
	}

}
