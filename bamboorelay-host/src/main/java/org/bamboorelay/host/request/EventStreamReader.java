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
 * Reads numbered events from the stream of an endpoint. An event that is cut off is left
 * out, and one without end breaks the stream.
 * <p>
 * Not thread-safe.
 */
public final class EventStreamReader {

	/**
	 * The largest event, in bytes: a result of at most 1 MB holds the data of all of
	 * them.
	 */
	static final int MAX_EVENT_BYTES = 1_048_576;

	private final InputStream in;

	private final ToLongFunction<String> versionLine;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private long version;

	private int eventBytes;

	private EventStreamReader(InputStream in, ToLongFunction<String> versionLine, long version) {
		this.in = in;
		this.versionLine = versionLine;
		this.version = version;
	}

	/**
	 * Creates a reader.
	 * @param body the stream
	 * @param versionLine reads the weight version that a line names; 0 for other lines
	 * @param version the weight version of the first events
	 * @return the reader
	 */
	public static EventStreamReader of(InputStream body, ToLongFunction<String> versionLine, long version) {
		Objects.requireNonNull(versionLine, "versionLine");
		return new EventStreamReader(new BufferedInputStream(body), versionLine, version);
	}

	/**
	 * Reads the next event.
	 * @return the event, or null at the end of the stream
	 * @throws IOException where the stream breaks
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
			long named = this.versionLine.applyAsLong(line);
			if (named > 0) {
				this.version = named;
			}
			else if (line.startsWith("id:")) {
				number = number(line.substring(3).trim());
			}
			else if (line.startsWith("data:")) {
				String part = line.substring(5);
				part = part.startsWith(" ") ? part.substring(1) : part;
				data = (data != null) ? data.append('\n').append(part) : new StringBuilder(part);
			}
		}
	}

	// Returns null at the end of the stream; a last line without its end is left out.
	private @Nullable String readLine() throws IOException {
		this.line.reset();
		while (true) {
			int value = this.in.read();
			if (value < 0) {
				return null;
			}
			if (++this.eventBytes > MAX_EVENT_BYTES) {
				throw new IOException("an event has more than " + MAX_EVENT_BYTES + " bytes");
			}
			if (value == '\n') {
				return this.line.toString(StandardCharsets.UTF_8);
			}
			if (value != '\r') {
				this.line.write(value);
			}
		}
	}

	private static long number(String text) throws IOException {
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			throw new IOException("event id \"" + text + "\" is no number", ex);
		}
	}

	/**
	 * An event.
	 *
	 * @param number its number
	 * @param data its data
	 * @param version the weight version that generated it
	 */
	public record Event(long number, String data, long version) {
	}

}
