package org.bamboorelay.core.request;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ResultLog}.
 */
class ResultLogTests {

	@Test
	void onlyResultsBeyondTheEndAreAddedWhenAPageOverlaps() {
		// Two readers may request results from the running host at the same position. If
		// the longer response is ignored because the shorter one arrives first, a reader
		// misses a result that another caller has already read.
		ResultLog log = new ResultLog();
		assertThat(log.add(page(0, "a", "b"))).isTrue();
		assertThat(log.add(page(0, "a", "b", "c"))).isTrue();
		assertThat(log.resultsFrom(0)).extracting(ItemResult::id).containsExactly("a", "b", "c");
	}

	@Test
	void pageIsIgnoredWhenItWouldLeaveAGap() {
		ResultLog log = new ResultLog();
		assertThat(log.add(page(1, "b"))).isFalse();
		assertThat(log.size()).isZero();
	}

	@Test
	void pageIsRewrittenUnchangedWhenItsOutcomeIsUnknown() {
		// The first write may still take effect after a page with other results is
		// written.
		ResultLog log = new ResultLog();
		ResultLog.ResultPage first = log.nextPage(List.of(result("a")), 100);
		log.outcomeUnknown();
		assertThat(log.isOutcomeUnknown()).isTrue();
		assertThat(log.nextPage(List.of(result("a"), result("b")), 100)).isEqualTo(first);
		assertThat(log.add(page(0, "a"))).isTrue();
		assertThat(log.isOutcomeUnknown()).isFalse();
	}

	@Test
	void ownResultsMoveToTheNextPositionWhenAnotherHostWroteThePage() {
		ResultLog log = new ResultLog();
		log.nextPage(List.of(result("a")), 100);
		log.add(page(0, "x"));
		ResultLog.ResultPage next = log.nextPage(List.of(result("a")), 100);
		assertThat(next).isEqualTo(page(1, "a"));
	}

	@Test
	void listedItemIsNotListedAgain() {
		ResultLog log = new ResultLog();
		log.add(page(0, "a"));
		assertThat(log.nextPage(List.of(result("a")), 100)).isNull();
	}

	@Test
	void copiedResultsEndAtAPageBoundary() {
		// The store lists pages by their first position, so a host whose copy ends
		// inside a page cannot find the rest of that page.
		ResultLog log = new ResultLog();
		log.add(page(0, "a", "b"));
		log.add(page(2, "c", "d"));
		assertThat(log.wholePages(0, 1)).extracting(ItemResult::id).containsExactly("a", "b");
		assertThat(log.wholePages(2, 1)).extracting(ItemResult::id).containsExactly("c", "d");
		assertThat(log.wholePages(0, 1_000)).hasSize(4);
		assertThat(log.wholePages(4, 1_000)).isEmpty();
	}

	private static ResultLog.ResultPage page(int first, String... ids) {
		return new ResultLog.ResultPage(first, List.of(ids).stream().map(ResultLogTests::result).toList());
	}

	private static ItemResult result(String id) {
		return new ItemResult(id, true, "text", List.of(1L), "seal");
	}

}
