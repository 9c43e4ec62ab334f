package org.bamboorelay.core.request;

import java.util.List;
import java.util.Objects;

import org.bamboorelay.core.version.JsonSize;

/**
 * Consecutive events of an item's text, in the form in which one host copies them to
 * another.
 * <p>
 * Immutable and thread-safe.
 *
 * @param item the id of the item
 * @param after the number of the event that precedes the first one; 0 if there is none
 * @param events the data of the events
 * @param versions the weight version of each event
 */
public record TextPart(String item, long after, List<String> events, List<Long> versions) {

	/**
	 * Maximum size of the quotes and commas of an event and of its version, in bytes.
	 */
	private static final int EVENT_OVERHEAD_BYTES = 24;

	public TextPart {
		Objects.requireNonNull(item, "item");
		events = List.copyOf(events);
		versions = List.copyOf(versions);
		if (after < 0 || events.size() != versions.size()) {
			throw new IllegalArgumentException("invalid text part: after " + after + ", " + events.size() + " events, "
					+ versions.size() + " versions");
		}
	}

	/**
	 * Returns the size of the events and their versions as they are stored.
	 * @return an upper bound in bytes of JSON
	 */
	long storedBytes() {
		return this.events.stream().mapToLong((event) -> JsonSize.ofText(event) + EVENT_OVERHEAD_BYTES).sum();
	}

	/**
	 * Returns the heap memory that the events occupy in a text.
	 * @return the number of bytes
	 */
	long sizeBytes() {
		return this.events.stream().mapToLong(ItemText::sizeBytes).sum();
	}

}
