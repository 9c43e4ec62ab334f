package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The text of an item as far as its runs generated it, with the weight versions of its
 * events. Events are numbered from 1 without gaps.
 * <p>
 * Not thread-safe; its plan guards it.
 */
public final class ItemText {

	private final List<String> events = new ArrayList<>();

	private final List<Long> versions = new ArrayList<>();

	/**
	 * Returns the number of the last event.
	 * @return the number; 0 where there is none
	 */
	public long lastEvent() {
		return this.events.size();
	}

	/**
	 * Returns the versions that generated the text.
	 * @return the versions, oldest first
	 */
	public List<Long> versions() {
		return List.copyOf(new TreeSet<>(this.versions));
	}

	/**
	 * Returns the text.
	 * @return the data of all events, separated by line feeds
	 */
	public String output() {
		return String.join("\n", this.events);
	}

	/**
	 * Appends an event.
	 * @param number its number
	 * @param data its data
	 * @param version the weight version that generated it
	 * @return false where the number is not the next one; the text is unchanged then
	 */
	public boolean append(long number, String data, long version) {
		if (number != this.events.size() + 1) {
			return false;
		}
		this.events.add(data);
		this.versions.add(version);
		return true;
	}

	/**
	 * Returns the events after a number.
	 * @param item the item that the text belongs to
	 * @param after the number
	 * @return the events, from the beginning where the text is shorter than that
	 */
	public TextPart from(String item, long after) {
		int start = (after > this.events.size()) ? 0 : (int) after;
		return new TextPart(item, start, this.events.subList(start, this.events.size()),
				this.versions.subList(start, this.versions.size()));
	}

	/**
	 * Appends what a part has beyond this text.
	 * @param part the part; one that begins anew replaces the text
	 */
	public void merge(TextPart part) {
		if (part.after() == 0) {
			clear();
		}
		for (int index = 0; index < part.events().size(); index++) {
			append(part.after() + index + 1, part.events().get(index), part.versions().get(index));
		}
	}

	/**
	 * Forgets the text.
	 */
	public void clear() {
		this.events.clear();
		this.versions.clear();
	}

	/**
	 * Tells whether the text may be part of a sample.
	 * @param minVersion the oldest version that may generate an event
	 * @param single whether all events must come from one version
	 * @return whether it may
	 */
	public boolean isWithin(long minVersion, boolean single) {
		return this.versions.stream().allMatch((version) -> version >= minVersion)
				&& (!single || this.versions.stream().distinct().count() <= 1);
	}

}
