package org.bamboorelay.core.version;

import java.util.List;
import java.util.stream.IntStream;

import org.bamboorelay.core.request.ItemResult;
import org.bamboorelay.core.request.ResultLog;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the sizes by which texts and pages of results are limited: a page that the
 * store refuses would keep all later results from being listed.
 */
class JsonSizeTests {

	@ParameterizedTest
	@ValueSource(strings = { "", "plain", "\"quoted\\\"", "line\nfeed\ttab\r\b\f", "\u0000\u0001\u001f\u007f",
			"\u00e9\u00df", "\u65e5\u672c\u8a9e", "\uD83D\uDE00" })
	void sizeIsThatOfTheEncodedText(String text) {
		assertThat(JsonSize.ofText(text)).isEqualTo(CoreJson.bytes(text).length - 2);
	}

	@ParameterizedTest
	@ValueSource(strings = { "x", "\u65e5", "\u0001", "\"" })
	void encodedPageStaysWithinItsLimit(String character) {
		ItemResult result = new ItemResult("item", true, character.repeat(1_000), List.of(Long.MAX_VALUE), "score");
		assertThat(CoreJson.bytes(result).length).isLessThanOrEqualTo((int) result.storedBytes());
		ResultLog log = new ResultLog();
		List<ItemResult> results = IntStream.range(0, 100)
			.mapToObj((index) -> new ItemResult("item" + index, true, result.output(), List.of(1L), null))
			.toList();
		ResultLog.ResultPage page = log.nextPage(results, 50_000);
		assertThat(CoreJson.bytes(page).length).isLessThanOrEqualTo(50_000);
		assertThat(page.results()).isNotEmpty();
	}

}
