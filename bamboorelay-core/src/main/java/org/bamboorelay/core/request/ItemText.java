package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import org.bamboorelay.core.version.JsonSize;

/**
 * The text that the runs of an item have generated so far, with the weight version of
 * each event. Events are numbered from 1 without gaps.
 * <p>
 * Not thread-safe; guarded by the lock of its submission.
 */
public final class ItemText {

	/** Maximum length of a text, in characters. */
	public static final int MAX_CHARACTERS = 500_000;

	/**
	 * Maximum size of a text as it is stored, in bytes: a result is listed in one object
	 * of the store, which has a maximum size of 1 MiB.
	 */
	public static final int MAX_STORED_BYTES = 1_000_000;

	/** Size of the line feed between two events as it is stored, in bytes. */
	private static final int SEPARATOR_BYTES = 2;

	/**
	 * Heap memory that an event occupies in addition to its characters, in bytes: the
	 * headers of its string and of its version, and the references to them.
	 */
	static final int EVENT_OVERHEAD_BYTES = 80;

	/**
	 * Heap memory for a character, in bytes: in the event and in the output, or once with
	 * characters outside Latin-1.
	 */
	private static final int BYTES_PER_CHARACTER = 2;

	private final List<String> events = new ArrayList<>();

	private final List<Long> versions = new ArrayList<>();

	private long characters;

	private long storedBytes;

	/**
	 * Returns the heap memory that an event occupies in a text.
	 * @param data the data of the event
	 * @return the number of bytes
	 */
	static long sizeBytes(String data) {
		return EVENT_OVERHEAD_BYTES + (long) BYTES_PER_CHARACTER * data.length();
	}

	/**
	 * Returns the heap memory that the text occupies.
	 * @return the number of bytes
	 */
	public long sizeBytes() {
		return (long) EVENT_OVERHEAD_BYTES * this.events.size() + BYTES_PER_CHARACTER * this.characters;
	}

	/**
	 * Returns whether the text would be longer than its maximum length.
	 * @param data the data of the next event
	 * @return whether the event must not be appended
	 */
	public boolean wouldExceedLimit(String data) {
		return this.characters + data.length() > MAX_CHARACTERS
				|| this.storedBytes + JsonSize.ofText(data) + SEPARATOR_BYTES > MAX_STORED_BYTES;
	}

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
		this.characters += data.length();
		this.storedBytes += JsonSize.ofText(data) + SEPARATOR_BYTES;
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
		this.characters = 0;
		this.storedBytes = 0;
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
