package org.bamboorelay.host.request;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.ToLongFunction;

import org.jspecify.annotations.Nullable;

/**
 * Reads numbered events from the stream of an endpoint. An event that is cut off is left
 * out.
 * <p>
 * Not thread-safe.
 */
public final class EventStreamReader {

	private final BufferedReader reader;

	private final ToLongFunction<String> versionLine;

	private long version;

	private EventStreamReader(BufferedReader reader, ToLongFunction<String> versionLine, long version) {
		this.reader = reader;
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
		return new EventStreamReader(new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8)),
				versionLine, version);
	}

	/**
	 * Reads the next event.
	 * @return the event, or null at the end of the stream
	 * @throws IOException where the stream breaks
	 */
	public @Nullable Event next() throws IOException {
		long number = -1;
		StringBuilder data = null;
		while (true) {
			String line = this.reader.readLine();
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
