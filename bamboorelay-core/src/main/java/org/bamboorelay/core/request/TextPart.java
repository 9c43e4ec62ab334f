package org.bamboorelay.core.request;

import java.util.List;
import java.util.Objects;

/**
 * Events of an item's text, as one host copies them to another.
 * <p>
 * Immutable and thread-safe.
 *
 * @param item the item
 * @param after the number of the event before the first one
 * @param events the data of the events
 * @param versions the weight version of each event
 */
public record TextPart(String item, long after, List<String> events, List<Long> versions) {

	public TextPart {
		Objects.requireNonNull(item, "item");
		events = List.copyOf(events);
		versions = List.copyOf(versions);
		if (after < 0 || events.size() != versions.size()) {
			throw new IllegalArgumentException("bad part of a text: after " + after + ", " + events.size() + " events, "
					+ versions.size() + " versions");
		}
	}

}
