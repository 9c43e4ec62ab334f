package org.bamboorelay.entry.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.bamboorelay.core.version.WeightVersion;
import org.bamboorelay.runtime.request.Json;
import org.jspecify.annotations.Nullable;

/**
 * Writes the events of one completion stream. What is the same in each event is rendered
 * once, because rendering every event through a map was a large part of the cost of a
 * token. The result has the same value as what {@link Json} writes for the same fields.
 * <p>
 * Used by one thread.
 */
final class ChunkWriter {

	private static final byte[] HEAD = ascii("data: {\"choices\":[{\"index\":0,\"text\":\"");

	private static final byte[] END = ascii("}\n\n");

	private final ByteArrayOutputStream event = new ByteArrayOutputStream(256);

	private final JsonStringEncoder encoder = JsonStringEncoder.getInstance();

	private final byte[] middle;

	private @Nullable WeightVersion lastVersion;

	private byte[] renderedVersion = new byte[0];

	/**
	 * Creates a writer.
	 * @param requestId id of the request
	 * @param model the model service
	 */
	ChunkWriter(String requestId, String model) {
		this.middle = ("\"}],\"id\":" + Json.text(requestId) + ",\"model\":" + Json.text(model)
				+ ",\"object\":\"text_completion\"")
			.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Writes an event with text.
	 * @param text the text
	 * @param version the weights that produced it; null where they are unknown
	 * @param out takes the event
	 * @throws IOException where the caller is gone
	 */
	void write(String text, @Nullable WeightVersion version, OutputStream out) throws IOException {
		this.event.reset();
		this.event.writeBytes(HEAD);
		this.event.writeBytes(this.encoder.quoteAsUTF8(text));
		this.event.writeBytes(this.middle);
		if (version != null) {
			if (!Objects.equals(version, this.lastVersion)) {
				this.renderedVersion = (",\"weight_version\":" + Json.text(version.toString()))
					.getBytes(StandardCharsets.UTF_8);
				this.lastVersion = version;
			}
			this.event.writeBytes(this.renderedVersion);
		}
		this.event.writeBytes(END);
		this.event.writeTo(out);
	}

	private static byte[] ascii(String text) {
		return text.getBytes(StandardCharsets.US_ASCII);
	}

}
