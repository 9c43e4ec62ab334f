package org.bamboorelay.core.process;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link WindowedRequestCounts}.
 */
class WindowedRequestCountsTests {

	@Test
	void countsThatAreMergedSeveralTimesCountOnce() {
		WindowedRequestCounts counts = new WindowedRequestCounts();
		counts.count(5, "own", "w");
		counts.merge(5, "other", Map.of("w", 2L));
		counts.merge(5, "other", Map.of("w", 3L));
		counts.merge(5, "other", Map.of("w", 2L));
		assertThat(counts.total(5)).containsExactly(Map.entry("w", 4L));
	}

	@Test
	void countsOfEarlierIncarnationsOfAHostAreKept() {
		WindowedRequestCounts counts = new WindowedRequestCounts();
		counts.merge(5, "host/1", Map.of("w", 3L));
		counts.merge(5, "host/2", Map.of("w", 1L));
		assertThat(counts.total(5)).containsExactly(Map.entry("w", 4L));
	}

	@Test
	void oldestWindowsAreDropped() {
		WindowedRequestCounts counts = new WindowedRequestCounts();
		for (long window = 0; window < 100; window++) {
			counts.count(window, "own", "w");
		}
		assertThat(counts.total(0)).isEmpty();
		assertThat(counts.total(99)).isNotEmpty();
	}

}
