package org.bamboorelay.entry.connection;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.version.WeightVersion;
import org.bamboorelay.entry.connection.EngineClient.EngineEvent;
import org.bamboorelay.entry.connection.EngineClient.Finish;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.request.Json;
import org.jspecify.annotations.Nullable;

/**
 * Reads the events of one stream. The id and index of each event are validated, and the
 * stream is complete only after its last event, {@code [DONE]} and the end of the HTTP
 * framing.
 * <p>
 * Used by one thread at a time; {@link StreamAbort} ends it from any thread.
 */
public final class EngineStream implements AutoCloseable {

	private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

	private static final int BUFFER_BYTES = 8_192;

	/**
	 * Maximum size of an event, in bytes, so that a faulty engine cannot exhaust memory.
	 */
	private static final int MAX_EVENT_BYTES = 1_048_576;

	private final HttpExchange exchange;

	private final String requestId;

	private final long startedNanos;

	private final InputStream in;

	private final byte[] buffer = new byte[BUFFER_BYTES];

	private int position;

	private int limit;

	private int nextIndex;

	private long tokens;

	private long firstByteMillis;

	private @Nullable String finishReason;

	private boolean complete;

	private @Nullable WeightVersion lastVersion;

	private @Nullable String lastVersionText;

	private EngineStream(HttpExchange exchange, String requestId, long startedNanos) throws IOException {
		this.exchange = exchange;
		this.requestId = requestId;
		this.startedNanos = startedNanos;
		this.in = exchange.body();
	}

	static EngineStream of(HttpExchange exchange, String requestId, long startedNanos) throws IOException {
		return new EngineStream(exchange, requestId, startedNanos);
	}

	/**
	 * Waits for the next event with text or tokens.
	 * @return the event, none after the end of a complete stream, or the failure
	 */
	public Either<EngineFailure, Option<EngineEvent>> next() {
		try {
			while (!this.complete) {
				byte[] data = nextData();
				if (data == null) {
					return Either.left(new EngineFailure.Truncated(
							"the stream ended after " + this.nextIndex + " events, before the last one"));
				}
				if (Arrays.equals(DONE, data)) {
					if (this.finishReason == null) {
						return Either.left(new EngineFailure.Truncated("received [DONE] before the last event"));
					}
					readEnd();
					continue;
				}
				Either<EngineFailure, EngineEvent> event = parse(data);
				if (event.isLeft()) {
					return Either.left(event.getLeft());
				}
				if (!event.get().text().isEmpty() || event.get().tokens() > 0) {
					return Either.right(Option.some(event.get()));
				}
			}
			return Either.right(Option.none());
		}
		catch (IOException ex) {
			return Either.left(new EngineFailure.Truncated("cannot read the stream: " + ex.getMessage()));
		}
	}

	/**
	 * Returns the end of the stream. To be called after {@link #next()} returned none.
	 * @return the end of the stream
	 */
	public Finish end() {
		if (this.finishReason == null) {
			throw new IllegalStateException("the stream has not ended");
		}
		return new Finish(this.finishReason, this.tokens, this.firstByteMillis);
	}

	/**
	 * Returns the number of tokens received so far.
	 * @return the number of tokens
	 */
	public long tokens() {
		return this.tokens;
	}

	/**
	 * Returns the time from the start of the request to the first event.
	 * @return the time in milliseconds; 0 before the first event
	 */
	public long firstByteMillis() {
		return this.firstByteMillis;
	}

	/**
	 * Returns whether the next event can be read without blocking.
	 * @return whether a complete line that is not empty is buffered
	 */
	public boolean isBuffered() {
		boolean content = false;
		for (int i = this.position; i < this.limit; i++) {
			byte next = this.buffer[i];
			if (next == '\n' && content) {
				return true;
			}
			content |= next != '\n' && next != '\r';
		}
		return false;
	}

	@Override
	public void close() {
		this.exchange.close();
	}

	private void readEnd() throws IOException {
		if (nextData() != null) {
			throw new IOException("received an event after [DONE]");
		}
		this.exchange.markComplete();
		this.complete = true;
	}

	private byte @Nullable [] nextData() throws IOException {
		while (true) {
			byte[] line = readLine();
			if (line == null) {
				return null;
			}
			if (line.length >= DATA.length && Arrays.equals(line, 0, DATA.length, DATA, 0, DATA.length)) {
				int from = DATA.length;
				int to = line.length;
				while (from < to && line[from] == ' ') {
					from++;
				}
				while (to > from && (line[to - 1] == '\r' || line[to - 1] == ' ')) {
					to--;
				}
				return Arrays.copyOfRange(line, from, to);
			}
		}
	}

	private byte @Nullable [] readLine() throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		while (true) {
			for (int i = this.position; i < this.limit; i++) {
				if (this.buffer[i] == '\n') {
					line.write(this.buffer, this.position, i - this.position);
					this.position = i + 1;
					return line.toByteArray();
				}
			}
			line.write(this.buffer, this.position, this.limit - this.position);
			if (line.size() > MAX_EVENT_BYTES) {
				throw new IOException("an event exceeds " + MAX_EVENT_BYTES + " bytes");
			}
			this.position = 0;
			this.limit = Math.max(0, this.in.read(this.buffer));
			if (this.limit == 0) {
				// A line without a line feed is truncated and is never an event.
				return null;
			}
		}
	}

	private Either<EngineFailure, EngineEvent> parse(byte[] data) {
		String id = "";
		int index = -1;
		int eventTokens = 0;
		String text = "";
		String version = null;
		String reason = null;
		// A streaming parser halves the cost of an event compared with a tree.
		try (JsonParser parser = Json.MAPPER.getFactory().createParser(data)) {
			if (parser.nextToken() != JsonToken.START_OBJECT) {
				return invalidEvent("an event is not a JSON object");
			}
			while (parser.nextToken() == JsonToken.FIELD_NAME) {
				String name = parser.currentName();
				JsonToken token = parser.nextToken();
				if (token == JsonToken.VALUE_NULL) {
					continue;
				}
				switch (name) {
					case "id" -> {
						id = parser.getValueAsString("");
					}
					case "index" -> {
						index = parser.getValueAsInt(-1);
					}
					case "tokens" -> {
						eventTokens = parser.getValueAsInt(0);
					}
					case "text" -> {
						text = parser.getValueAsString("");
					}
					case "weight_version" -> {
						version = (token == JsonToken.VALUE_STRING) ? parser.getText() : null;
					}
					case "finish_reason" -> {
						reason = (token == JsonToken.VALUE_STRING) ? parser.getText() : null;
					}
					default -> {
						// Unknown fields are ignored.
					}
				}
				parser.skipChildren();
			}
			if (parser.currentToken() != JsonToken.END_OBJECT) {
				return invalidEvent("an event is not a JSON object");
			}
		}
		catch (IOException ex) {
			return invalidEvent("an event is not a JSON object");
		}
		if (!this.requestId.equals(id)) {
			return invalidEvent("received an event of another request");
		}
		if (index != this.nextIndex || this.finishReason != null) {
			return invalidEvent("event " + index + " received where event " + this.nextIndex + " was expected");
		}
		if (eventTokens < 0) {
			return invalidEvent("an event has " + eventTokens + " tokens");
		}
		this.finishReason = reason;
		if (this.nextIndex == 0) {
			this.firstByteMillis = Math.max(1, (System.nanoTime() - this.startedNanos) / 1_000_000L);
		}
		this.nextIndex++;
		this.tokens += eventTokens;
		try {
			return Either
				.right(new EngineEvent(index, text, eventTokens, (version != null) ? cachedVersion(version) : null));
		}
		catch (IllegalArgumentException ex) {
			return invalidEvent("an event has a malformed weight version");
		}
	}

	private WeightVersion cachedVersion(String text) {
		WeightVersion last = this.lastVersion;
		if (last == null || !text.equals(this.lastVersionText)) {
			last = WeightVersion.parse(text);
			this.lastVersion = last;
			this.lastVersionText = text;
		}
		return last;
	}

	private static Either<EngineFailure, EngineEvent> invalidEvent(String detail) {
		return Either.left(new EngineFailure.InvalidEvent(detail));
	}

}
