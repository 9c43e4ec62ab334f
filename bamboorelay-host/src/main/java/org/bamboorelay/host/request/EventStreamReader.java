package org.bamboorelay.host.request;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.LongPredicate;
import java.util.function.ToLongFunction;

import org.jspecify.annotations.Nullable;

/**
 * Reads events with numeric ids from the event stream of an endpoint. An incomplete event
 * at the end of the stream is ignored; an event that exceeds the size limit, or the
 * memory for events, fails the stream.
 * <p>
 * Not thread-safe.
 */
public final class EventStreamReader {

	/**
	 * Maximum size of an event, in bytes: a result of at most 1 MB holds the data of all
	 * events.
	 */
	static final int MAX_EVENT_BYTES = 1_048_576;

	/** Interval at which memory is reserved for an event in progress, in bytes. */
	private static final int RESERVATION_BYTES = 4_096;

	/**
	 * Memory for a byte of an event in progress, in bytes: in the buffer of its line, and
	 * in the text.
	 */
	private static final int BYTES_PER_EVENT_BYTE = 2;

	/** Size up to which the buffer for lines is kept for the next event, in bytes. */
	private static final int KEPT_LINE_BYTES = 8_192;

	private final InputStream in;

	private final ToLongFunction<String> versionParser;

	private final LongPredicate memory;

	private ByteArrayOutputStream line = new ByteArrayOutputStream();

	private long version;

	private int eventBytes;

	private EventStreamReader(InputStream in, ToLongFunction<String> versionParser, LongPredicate memory,
			long version) {
		this.in = in;
		this.versionParser = versionParser;
		this.memory = memory;
		this.version = version;
	}

	/**
	 * Creates a reader.
	 * @param body the body of the response
	 * @param versionParser parses the weight version from a line; returns 0 for other
	 * lines
	 * @param memory reserves the memory for the event in progress, in bytes, instead of
	 * that reserved last, and returns whether this is permitted
	 * @param version the weight version of the first events
	 * @return the reader
	 */
	public static EventStreamReader of(InputStream body, ToLongFunction<String> versionParser, LongPredicate memory,
			long version) {
		Objects.requireNonNull(versionParser, "versionParser");
		Objects.requireNonNull(memory, "memory");
		return new EventStreamReader(new BufferedInputStream(body), versionParser, memory, version);
	}

	/**
	 * Reads the next event.
	 * @return the event, or null at the end of the stream
	 * @throws IOException if the stream breaks, an event is too large or an id is not a
	 * number
	 */
	public @Nullable Event next() throws IOException {
		long number = -1;
		StringBuilder data = null;
		startEvent();
		while (true) {
			String line = readLine();
			if (line == null) {
				return null;
			}
			if (line.isEmpty()) {
				if (number >= 0 && data != null) {
					return new Event(number, data.toString(), this.version);
				}
				continue;
			}
			long lineVersion = this.versionParser.applyAsLong(line);
			if (lineVersion > 0) {
				this.version = lineVersion;
			}
			else if (line.startsWith("id:")) {
				number = parseId(line.substring(3).trim());
			}
			else if (line.startsWith("data:")) {
				String part = line.substring(5);
				part = part.startsWith(" ") ? part.substring(1) : part;
				data = (data != null) ? data.append('\n').append(part) : new StringBuilder(part);
			}
		}
	}

	private void startEvent() {
		if (this.eventBytes >= RESERVATION_BYTES) {
			this.memory.test(0);
			if (this.line.size() > KEPT_LINE_BYTES) {
				this.line = new ByteArrayOutputStream();
			}
		}
		this.eventBytes = 0;
	}

	// Returns null at the end of the stream; an unterminated last line is ignored.
	private @Nullable String readLine() throws IOException {
		this.line.reset();
		while (true) {
			int value = this.in.read();
			if (value < 0) {
				return null;
			}
			if (++this.eventBytes > MAX_EVENT_BYTES) {
				throw new IOException("event exceeds the limit of " + MAX_EVENT_BYTES + " bytes");
			}
			if (this.eventBytes % RESERVATION_BYTES == 0
					&& !this.memory.test((long) BYTES_PER_EVENT_BYTE * this.eventBytes)) {
				throw new IOException(
						"event of " + this.eventBytes + " bytes or more exceeds the memory for all responses");
			}
			if (value == '\n') {
				return this.line.toString(StandardCharsets.UTF_8);
			}
			if (value != '\r') {
				this.line.write(value);
			}
		}
	}

	private static long parseId(String text) throws IOException {
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			throw new IOException("event id \"" + text + "\" is not a number", ex);
		}
	}

	/**
	 * A complete event.
	 *
	 * @param id the numeric id of the event
	 * @param data the data of the event
	 * @param version the weight version that generated it
	 */
	public record Event(long id, String data, long version) {
	}

}
