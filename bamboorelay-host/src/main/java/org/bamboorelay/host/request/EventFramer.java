package org.bamboorelay.host.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits the bytes of a server-sent event stream into complete events. A stream that
 * breaks inside an event can thus be resumed on another endpoint, and a stream that only
 * trickles bytes is distinguished from one that delivers events slowly. Comments, which
 * keep a connection alive, do not complete an event.
 * <p>
 * Not thread-safe.
 */
final class EventFramer {

	private static final String ID_FIELD = "id:";

	/**
	 * Length up to which a line is kept, in bytes: more than that of a line with a
	 * numeric id.
	 */
	private static final int MAX_LINE_BYTES = 64;

	/** Size up to which the buffer is kept for the next event, in bytes. */
	private static final int KEPT_BYTES = 16_384;

	private ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private boolean hasField;

	private long eventCount;

	private long eventId;

	private long firstEventId;

	private long lastEventId;

	/**
	 * Appends bytes of the stream.
	 * @param buffer the buffer that holds the bytes
	 * @param length the number of bytes, from the start of the buffer
	 * @return the bytes of all events that were completed, in order; empty if none were
	 */
	byte[] append(byte[] buffer, int length) {
		ByteArrayOutputStream complete = new ByteArrayOutputStream();
		for (int index = 0; index < length; index++) {
			byte value = buffer[index];
			this.pending.write(value);
			if (value == '\n') {
				endLine(complete);
			}
			else if (value != '\r' && this.line.size() < MAX_LINE_BYTES) {
				this.line.write(value);
			}
		}
		return complete.toByteArray();
	}

	/**
	 * Returns the bytes after the last complete event.
	 * @return the bytes; empty directly after an event
	 */
	byte[] incompleteEvent() {
		return this.pending.toByteArray();
	}

	/**
	 * Returns the number of bytes after the last complete event.
	 * @return the number of bytes
	 */
	int incompleteBytes() {
		return this.pending.size();
	}

	/**
	 * Returns the id of the last complete event.
	 * @return the id; 0 before the first event, or if events carry no id
	 */
	long lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns whether the stream can be resumed on another endpoint without losing or
	 * repeating an event.
	 * @return whether there is no complete event yet, or the last one has an id
	 */
	boolean isResumable() {
		return this.eventCount == 0 || this.lastEventId > 0;
	}

	/**
	 * Returns the id of the first complete event since {@link #discardIncomplete}.
	 * @return the id; 0 if there is none yet
	 */
	long firstEventId() {
		return this.firstEventId;
	}

	/**
	 * Discards an incomplete event, as the stream is resumed on another endpoint after
	 * the last complete one.
	 */
	void discardIncomplete() {
		resetPending();
		this.line.reset();
		this.hasField = false;
		this.firstEventId = 0;
	}

	private void resetPending() {
		if (this.pending.size() > KEPT_BYTES) {
			this.pending = new ByteArrayOutputStream();
		}
		this.pending.reset();
	}

	private void endLine(ByteArrayOutputStream complete) {
		String text = this.line.toString(StandardCharsets.UTF_8);
		this.line.reset();
		if (text.isEmpty()) {
			if (this.hasField) {
				complete.writeBytes(this.pending.toByteArray());
				resetPending();
				this.hasField = false;
				this.eventCount++;
				this.lastEventId = this.eventId;
				this.firstEventId = (this.firstEventId == 0) ? this.eventId : this.firstEventId;
			}
			return;
		}
		this.hasField |= text.charAt(0) != ':';
		if (text.startsWith(ID_FIELD)) {
			this.eventId = parseId(text.substring(ID_FIELD.length()).trim(), this.eventId);
		}
	}

	// An id that is not a number has a meaning private to the endpoint. Such a stream
	// cannot be resumed on another endpoint, but its bytes are still passed to the
	// caller.
	private static long parseId(String text, long defaultId) {
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			return defaultId;
		}
	}

}
