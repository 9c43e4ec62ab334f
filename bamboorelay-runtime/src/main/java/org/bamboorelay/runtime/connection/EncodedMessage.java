package org.bamboorelay.runtime.connection;

import java.util.Objects;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;

/**
 * A one-way message in its encoded form, which is the same on all links. A message to
 * many hosts is encoded once, and its bytes are shared by the links that send it.
 * <p>
 * Immutable and thread-safe.
 */
public final class EncodedMessage {

	private final Class<? extends PeerMessage> type;

	private final byte[] frame;

	private EncodedMessage(Class<? extends PeerMessage> type, byte[] frame) {
		this.type = type;
		this.frame = frame;
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the encoded message, or the failure if it exceeds the maximum size of a
	 * frame
	 */
	public static Either<PeerFailure.TooLarge, EncodedMessage> of(PeerMessage message) {
		Objects.requireNonNull(message, "message");
		try {
			return Either.right(new EncodedMessage(message.getClass(), PeerCodec.encode(0, message)));
		}
		catch (IllegalArgumentException ex) {
			return Either.left(new PeerFailure.TooLarge(message.getClass().getSimpleName() + ": " + ex.getMessage()));
		}
	}

	/**
	 * Returns the type of the message.
	 * @return the class of the message
	 */
	public Class<? extends PeerMessage> type() {
		return this.type;
	}

	/**
	 * Returns the size of the encoded message.
	 * @return the number of bytes
	 */
	public int sizeBytes() {
		return this.frame.length;
	}

	byte[] frame() {
		return this.frame;
	}

}
