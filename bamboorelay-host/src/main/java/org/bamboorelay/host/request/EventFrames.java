package org.bamboorelay.host.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Cuts the bytes of an event stream into whole events, so that a stream that breaks
 * inside an event can go on at another endpoint, and one that sends a byte now and then
 * is told from one that is slow but sound. Comments, which keep a connection open, end no
 * event.
 * <p>
 * Not thread-safe.
 */
final class EventFrames {

	private static final String NUMBER_FIELD = "id:";

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private boolean hasField;

	private long events;

	private long eventNumber;

	private long firstNumber;

	private long lastNumber;

	/**
	 * Takes bytes of the stream.
	 * @param buffer holds the bytes
	 * @param length how many bytes from its start
	 * @return the bytes of all events that became whole, in order; empty where none did
	 */
	byte[] add(byte[] buffer, int length) {
		ByteArrayOutputStream whole = new ByteArrayOutputStream();
		for (int index = 0; index < length; index++) {
			byte value = buffer[index];
			this.pending.write(value);
			if (value == '\n') {
				endLine(whole);
			}
			else if (value != '\r') {
				this.line.write(value);
			}
		}
		return whole.toByteArray();
	}

	/**
	 * Returns the bytes since the last whole event.
	 * @return the bytes; empty right after an event
	 */
	byte[] rest() {
		return this.pending.toByteArray();
	}

	/**
	 * Returns the number of bytes since the last whole event.
	 * @return the number of bytes
	 */
	int restBytes() {
		return this.pending.size();
	}

	/**
	 * Returns the number of the last whole event.
	 * @return the number; 0 before the first one, or where events have none
	 */
	long lastNumber() {
		return this.lastNumber;
	}

	/**
	 * Tells whether the stream can go on elsewhere without an event missing or twice.
	 * @return whether no event was whole yet, or the last whole one had a number
	 */
	boolean mayGoOn() {
		return this.events == 0 || this.lastNumber > 0;
	}

	/**
	 * Returns the number of the first whole event since {@link #restart}.
	 * @return the number; 0 where there is none yet
	 */
	long firstNumber() {
		return this.firstNumber;
	}

	/**
	 * Drops an event that was cut off, as the stream goes on elsewhere after the last
	 * whole one.
	 */
	void restart() {
		this.pending.reset();
		this.line.reset();
		this.hasField = false;
		this.firstNumber = 0;
	}

	private void endLine(ByteArrayOutputStream whole) {
		String text = this.line.toString(StandardCharsets.UTF_8);
		this.line.reset();
		if (text.isEmpty()) {
			if (this.hasField) {
				whole.writeBytes(this.pending.toByteArray());
				this.pending.reset();
				this.hasField = false;
				this.events++;
				this.lastNumber = this.eventNumber;
				this.firstNumber = (this.firstNumber == 0) ? this.eventNumber : this.firstNumber;
			}
			return;
		}
		this.hasField |= text.charAt(0) != ':';
		if (text.startsWith(NUMBER_FIELD)) {
			this.eventNumber = number(text.substring(NUMBER_FIELD.length()).trim(), this.eventNumber);
		}
	}

	// Numbers that cannot be read are the endpoint's own; such a stream cannot go on
	// elsewhere, but its bytes are still its caller's.
	private static long number(String text, long present) {
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			return present;
		}
	}

}
