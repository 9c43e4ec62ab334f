package org.bamboorelay.core.request;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ResultCache}: results that are dropped must be found again at their
 * positions, and the results in memory must not exceed their limit.
 */
class ResultCacheTests {

	private static final int TEXT_CHARACTERS = 10_000;

	/** Room for five results. */
	private static final long MAX_BYTES = 5 * (TEXT_CHARACTERS + 400);

	private final ResultCache cache = ResultCache.of(MAX_BYTES);

	@Test
	void leastRecentlyUsedPageIsDroppedAndItsPositionsStayKnown() {
		this.cache.add("s1", page(0, 2));
		this.cache.add("s1", page(2, 2));
		assertThat(read("s1", 0)).containsExactly("i0", "i1", "i2", "i3");
		this.cache.add("s2", page(0, 2));
		assertThat(this.cache.size("s1")).isEqualTo(4);
		assertThat(read("s1", 1)).as("the page that was read first").isEmpty();
		assertThat(read("s1", 3)).containsExactly("i3");
		assertThat(this.cache.pageStart("s1", 1)).hasValue(0);
		assertThat(this.cache.add("s1", page(0, 2))).isTrue();
		assertThat(read("s1", 1)).startsWith("i1");
	}

	@Test
	void pagesThatWereReadAtOnceAreRestoredOneByOne() {
		this.cache.add("s1", page(0, 4));
		this.cache.add("s2", page(0, 4));
		assertThat(read("s1", 0)).isEmpty();
		this.cache.add("s1", page(0, 3));
		assertThat(read("s1", 0)).containsExactly("i0", "i1", "i2");
		assertThat(this.cache.pageStart("s1", 3)).hasValue(3);
		this.cache.add("s1", page(3, 2));
		assertThat(read("s1", 3)).containsExactly("i3", "i4");
		assertThat(this.cache.size("s1")).isEqualTo(5);
	}

	@Test
	void resultsBeyondAGapAreIgnored() {
		assertThat(this.cache.add("s1", page(1, 1))).isFalse();
		assertThat(this.cache.size("s1")).isZero();
		assertThat(this.cache.pageStart("s1", 0)).isEmpty();
	}

	// Guards against memory that grows with the submissions that are read, and against
	// results at other positions, for seeded sequences of reads.
	@Test
	void memoryIsBoundedAndPositionsAreFinalForAnyOrderOfReads() {
		for (long seed = 0; seed < 200; seed++) {
			SplittableRandom random = new SplittableRandom(seed);
			ResultCache tested = ResultCache.of(MAX_BYTES);
			for (int step = 0; step < 100; step++) {
				String submission = "s" + random.nextInt(4);
				int size = tested.size(submission);
				if (random.nextInt(20) == 0) {
					tested.remove(submission);
				}
				else if (size == 0 || random.nextBoolean()) {
					tested.add(submission, page(size, 1 + random.nextInt(3)));
				}
				else {
					int position = random.nextInt(size);
					int first = tested.pageStart(submission, position).getAsInt();
					if (tested.resultsFrom(submission, position, 1).isEmpty()) {
						tested.add(submission, page(first, 1 + random.nextInt(3)));
					}
					List<ItemResult> results = tested.resultsFrom(submission, first, 1);
					assertThat(results.get(0).id()).as("seed %d", seed).isEqualTo("i" + first);
				}
				assertThat(tested.keptBytes()).as("seed %d", seed).isBetween(0L, MAX_BYTES);
			}
		}
	}

	private List<String> read(String submission, int start) {
		return this.cache.resultsFrom(submission, start, Integer.MAX_VALUE).stream().map(ItemResult::id).toList();
	}

	private static ResultLog.ResultPage page(int first, int count) {
		return new ResultLog.ResultPage(first,
				IntStream.range(first, first + count)
					.mapToObj(
							(index) -> new ItemResult("i" + index, true, "x".repeat(TEXT_CHARACTERS), List.of(1L), "s"))
					.toList());
	}

}
