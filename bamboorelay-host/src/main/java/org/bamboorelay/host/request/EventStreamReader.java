package org.bamboorelay.host.request;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.ToLongFunction;

import org.jspecify.annotations.Nullable;

/**
 * Reads events with numeric ids from the event stream of an endpoint. An incomplete event
 * at the end of the stream is ignored; an event that exceeds the size limit fails the
 * stream.
 * <p>
 * Not thread-safe.
 */
public final class EventStreamReader {

	/**
	 * Maximum size of an event, in bytes: a result of at most 1 MB holds the data of all
	 * events.
	 */
	static final int MAX_EVENT_BYTES = 1_048_576;

	private final InputStream in;

	private final ToLongFunction<String> versionParser;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private long version;

	private int eventBytes;

	private EventStreamReader(InputStream in, ToLongFunction<String> versionParser, long version) {
		this.in = in;
		this.versionParser = versionParser;
		this.version = version;
	}

	/**
	 * Creates a reader.
	 * @param body the body of the response
	 * @param versionParser parses the weight version from a line; returns 0 for other
	 * lines
	 * @param version the weight version of the first events
	 * @return the reader
	 */
	public static EventStreamReader of(InputStream body, ToLongFunction<String> versionParser, long version) {
		Objects.requireNonNull(versionParser, "versionParser");
		return new EventStreamReader(new BufferedInputStream(body), versionParser, version);
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
		this.eventBytes = 0;
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
