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

}
