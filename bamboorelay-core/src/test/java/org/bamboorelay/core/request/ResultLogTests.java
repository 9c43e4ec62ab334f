package org.bamboorelay.core.request;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ResultLog}.
 */
class ResultLogTests {

	@Test
	void overlappingResultsAddWhatGoesBeyondTheList() {
		// Two readers asked the running host from the same position. Dropping the longer
		// answer because the shorter one came first left a reader without a result that
		// another caller had read before.
		ResultLog log = new ResultLog();
		assertThat(log.add(page(0, "a", "b"))).isTrue();
		assertThat(log.add(page(0, "a", "b", "c"))).isTrue();
		assertThat(log.from(0)).extracting(ItemResult::id).containsExactly("a", "b", "c");
	}

	@Test
	void resultsBeyondAGapAreNotAdded() {
		ResultLog log = new ResultLog();
		assertThat(log.add(page(1, "b"))).isFalse();
		assertThat(log.size()).isZero();
	}

	@Test
	void pageOfUnknownOutcomeIsWrittenAgainUnchanged() {
		// A page with other results at the same position could take effect late.
		ResultLog log = new ResultLog();
		ResultLog.ResultPage first = log.next(List.of(result("a")), 100);
		log.uncertain();
		assertThat(log.isUncertain()).isTrue();
		assertThat(log.next(List.of(result("a"), result("b")), 100)).isEqualTo(first);
		assertThat(log.add(page(0, "a"))).isTrue();
		assertThat(log.isUncertain()).isFalse();
	}

	@Test
	void pageOfAnotherHostAtThePositionMovesOwnResultsOn() {
		ResultLog log = new ResultLog();
		log.next(List.of(result("a")), 100);
		log.add(page(0, "x"));
		ResultLog.ResultPage next = log.next(List.of(result("a")), 100);
		assertThat(next).isEqualTo(page(1, "a"));
	}

	@Test
	void listedItemGetsNoSecondPosition() {
		ResultLog log = new ResultLog();
		log.add(page(0, "a"));
		assertThat(log.next(List.of(result("a")), 100)).isNull();
	}

	@Test
	void answersToOtherHostsEndWithAPage() {
		// A host whose copy ended inside a page did not find the rest of that page in the
		// store, which lists pages by their first position.
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
