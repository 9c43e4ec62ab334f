package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which partial texts of a submission are stored durably, so that they survive
 * the simultaneous loss of all hosts. Long texts determine when a training step ends, and
 * a trainer that falls behind its schedule loses whole steps; short ones are generated
 * again faster than they are stored.
 * <p>
 * Stateless and thread-safe.
 */
public final class DurableTextPolicy {

	/** Interval between two writes of a submission's texts, in milliseconds. */
	public static final long WRITE_INTERVAL_MILLIS = 2_000;

	/** Minimum length of a text that is stored, in events. */
	static final int MIN_EVENTS = 40;

	/**
	 * Maximum size of the texts stored for a submission, in bytes; well below the maximum
	 * size of a value in the store.
	 */
	static final int MAX_BYTES = 400_000;

	private DurableTextPolicy() {
	}

	/**
	 * Selects the texts to store.
	 * @param texts the texts of all items without a listed result
	 * @return the longest of these texts that fit into one object, longest first
	 */
	public static List<TextPart> select(List<TextPart> texts) {
		List<TextPart> selected = new ArrayList<>();
		long bytes = 0;
		List<TextPart> longestFirst = texts.stream()
			.filter((text) -> text.events().size() >= MIN_EVENTS)
			.sorted(Comparator.comparingInt((TextPart text) -> -text.events().size()).thenComparing(TextPart::item))
			.toList();
		for (TextPart text : longestFirst) {
			bytes += text.storedBytes();
			if (bytes > MAX_BYTES) {
				break;
			}
			selected.add(text);
		}
		return selected;
	}

}
