package org.bamboorelay.core.request;

import java.util.Collections;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link DurableTextPolicy}.
 */
class DurableTextPolicyTests {

	private static final int EVENT_CHARACTERS = 400;

	@Test
	void longTextsAreSelectedLongestFirst() {
		List<TextPart> selected = DurableTextPolicy
			.select(List.of(text("short", DurableTextPolicy.MIN_EVENTS - 1), text("long", 60), text("longest", 174)));
		assertThat(selected).extracting(TextPart::item).containsExactly("longest", "long");
	}

	@Test
	void selectionFitsIntoOneObject() {
		List<TextPart> texts = Collections.nCopies(40, text("long", 174));
		List<TextPart> selected = DurableTextPolicy.select(texts);
		assertThat(selected).isNotEmpty();
		assertThat(selected.size() * 174 * EVENT_CHARACTERS).isLessThanOrEqualTo(DurableTextPolicy.MAX_BYTES);
	}

	private static TextPart text(String item, int events) {
		return new TextPart(item, 0, Collections.nCopies(events, "x".repeat(EVENT_CHARACTERS)),
				Collections.nCopies(events, 1L));
	}

}
