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
 * Writes the events of one completion stream. The constant parts of the events are
 * serialized once, because serializing every event from a map accounted for a large part
 * of the cost of a token. The result is equivalent to the JSON that {@link Json} writes
 * for the same fields.
 * <p>
 * Not thread-safe.
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
	 * Writes one event.
	 * @param text the text
	 * @param version the weight version that generated the text; null if it is unknown
	 * @param out the stream to write to
	 * @throws IOException if the caller has disconnected
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
