package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The text that the runs of an item have generated so far, with the weight version of
 * each event. Events are numbered from 1 without gaps.
 * <p>
 * Not thread-safe; guarded by the lock of its submission.
 */
public final class ItemText {

	private final List<String> events = new ArrayList<>();

	private final List<Long> versions = new ArrayList<>();

	/**
	 * Returns the number of the last event.
	 * @return the number; 0 if there are no events
	 */
	public long lastEvent() {
		return this.events.size();
	}

	/**
	 * Returns the weight versions that generated the text.
	 * @return the distinct versions, oldest first
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
	 * @param number the number of the event
	 * @param data the data of the event
	 * @param version the weight version that generated it
	 * @return false, without a change to the text, if the number is not the next one
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
	 * Returns the events that follow an event.
	 * @param item the id of the item to which the text belongs
	 * @param after the number of the event
	 * @return the events that follow, or all events if the text has fewer than
	 * {@code after}
	 */
	public TextPart partAfter(String item, long after) {
		int start = (after > this.events.size()) ? 0 : (int) after;
		return new TextPart(item, start, this.events.subList(start, this.events.size()),
				this.versions.subList(start, this.versions.size()));
	}

	/**
	 * Appends the events of a part that this text does not have yet.
	 * @param part the part; a part that starts with the first event replaces the text
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
	 * Discards the text.
	 */
	public void clear() {
		this.events.clear();
		this.versions.clear();
	}

	/**
	 * Returns whether the text may become part of a sample.
	 * @param minVersion the oldest weight version that may generate an event
	 * @param singleVersion whether all events must come from the same version
	 * @return whether the versions of all events are acceptable
	 */
	public boolean isWithin(long minVersion, boolean singleVersion) {
		return this.versions.stream().allMatch((version) -> version >= minVersion)
				&& (!singleVersion || this.versions.stream().distinct().count() <= 1);
	}

}
