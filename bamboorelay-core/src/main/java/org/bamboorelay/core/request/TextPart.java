package org.bamboorelay.core.request;

import java.util.List;
import java.util.Objects;

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
	 * Returns the amount of text.
	 * @return the number of characters of all events
	 */
	long characters() {
		return this.events.stream().mapToLong(String::length).sum();
	}

	/**
	 * Returns the heap memory that the events occupy in a text.
	 * @return the number of bytes
	 */
	long sizeBytes() {
		return this.events.stream().mapToLong(ItemText::sizeBytes).sum();
	}

}
