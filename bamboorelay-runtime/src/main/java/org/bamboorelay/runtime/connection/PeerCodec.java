package org.bamboorelay.runtime.connection;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.JsonRecyclerPools;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.connection.PeerProtocol;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes messages as frames and decodes them. A frame consists of a length of four bytes
 * and a MessagePack array of protocol version, message type, correlation number and
 * message.
 * <p>
 * Stateless and thread-safe.
 */
public final class PeerCodec {

	/** Maximum number of unused sets of buffers that the mapper keeps. */
	private static final int MAX_UNUSED_BUFFERS = 16;

	// With reuse, each thread keeps the last frame that it decoded and a buffer of the
	// size of its largest message. A host has a reading thread for each link.
	private static final ObjectMapper MAPPER = new MessagePackMapper(
			(MessagePackFactory) new MessagePackFactory().setReuseResourceInParser(false)
				.setReuseResourceInGenerator(false)
				.setRecyclerPool(JsonRecyclerPools.newBoundedPool(MAX_UNUSED_BUFFERS)));

	private static final int LENGTH_BYTES = 4;

	private PeerCodec() {
	}

	/**
	 * Encodes a frame.
	 * @param correlation 0 for a one-way message; a positive number for a request; the
	 * negated number of the request for its response
	 * @param message the message
	 * @return the frame
	 * @throws IllegalArgumentException if the frame exceeds
	 * {@link PeerProtocol#MAX_FRAME_BYTES}
	 */
	public static byte[] encode(long correlation, PeerMessage message) {
		int type = PeerProtocol.TYPES.indexOf(message.getClass());
		try {
			byte[] body = MAPPER.writeValueAsBytes(new Object[] { PeerProtocol.VERSION, type, correlation, message });
			if (body.length > PeerProtocol.MAX_FRAME_BYTES) {
				throw new IllegalArgumentException(
						"frame of " + body.length + " bytes exceeds the limit of " + PeerProtocol.MAX_FRAME_BYTES);
			}
			return ByteBuffer.allocate(LENGTH_BYTES + body.length).putInt(body.length).put(body).array();
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot encode " + message.getClass().getSimpleName(), ex);
		}
	}

	/**
	 * Reads and decodes a frame.
	 * @param in the stream, positioned at the start of a frame
	 * @return the frame, or a failure after which the stream must not be used
	 */
	public static Either<PeerFailure, Frame> read(DataInputStream in) {
		return read(in, PeerProtocol.MAX_FRAME_BYTES);
	}

	// Reads a frame of a limited size.
	static Either<PeerFailure, Frame> read(DataInputStream in, int maxBytes) {
		byte[] body;
		try {
			int length = in.readInt();
			if (length <= 0 || length > maxBytes) {
				return malformed("frame length " + length + " is not between 1 and " + maxBytes);
			}
			// Allocates pieces as bytes arrive, not the announced length.
			body = in.readNBytes(length);
			if (body.length < length) {
				throw new EOFException("stream ended inside a frame");
			}
		}
		catch (IOException ex) {
			return Either.left(new PeerFailure.NoResponse("link closed: " + ex.getMessage()));
		}
		return decode(body);
	}

	private static Either<PeerFailure, Frame> decode(byte[] body) {
		try {
			JsonNode tree = MAPPER.readTree(body);
			if (tree == null || !tree.isArray() || tree.size() != 4) {
				return malformed("frame is not an array of four elements");
			}
			if (tree.get(0).asInt() != PeerProtocol.VERSION) {
				return malformed("protocol version " + tree.get(0) + " is not " + PeerProtocol.VERSION);
			}
			int type = tree.get(1).asInt(-1);
			if (type < 0 || type >= PeerProtocol.TYPES.size()) {
				return malformed("message type " + tree.get(1) + " does not exist");
			}
			PeerMessage message = MAPPER.treeToValue(tree.get(3), PeerProtocol.TYPES.get(type));
			if (message == null) {
				return malformed("message is null");
			}
			return Either.right(new Frame(tree.get(2).asLong(), message));
		}
		catch (IOException | RuntimeException ex) {
			return malformed("frame cannot be decoded: " + ex.getClass().getSimpleName());
		}
	}

	private static Either<PeerFailure, Frame> malformed(String detail) {
		return Either.left(new PeerFailure.Malformed(detail));
	}

	/**
	 * A decoded frame.
	 *
	 * @param correlation correlation number as in {@link PeerCodec#encode}
	 * @param message the message
	 */
	public record Frame(long correlation, PeerMessage message) {
	}

}
