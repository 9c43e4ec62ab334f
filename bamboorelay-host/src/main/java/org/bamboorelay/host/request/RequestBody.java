package org.bamboorelay.host.request;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;

import io.vavr.control.Option;
import org.bamboorelay.core.process.MemoryAccount;
import org.jspecify.annotations.Nullable;

/**
 * The received part of a request body. Its memory is reserved as bytes arrive, at most
 * three times as much as has arrived. If the request is shed, the part is discarded at
 * once, even while the thread of the request waits for more bytes.
 * <p>
 * Thread-safe; guarded by its own lock. One thread reads.
 */
final class RequestBody {

	private static final int FIRST_BYTES = 8_192;

	private final MemoryAccount.Reservation reservation;

	private byte @Nullable [] buffer = new byte[0];

	private int size;

	RequestBody(MemoryAccount.Reservation reservation) {
		this.reservation = reservation;
	}

	// Reads a body to its end. A body of more than maxBytes is not read further.
	Outcome read(InputStream in, long contentLength, int maxBytes) throws IOException {
		// The final size, or its maximum if the length is not announced.
		int bound = (contentLength >= 0) ? (int) Math.min(contentLength, maxBytes) : maxBytes;
		byte[] piece = new byte[FIRST_BYTES];
		for (int count = in.read(piece); count >= 0; count = in.read(piece)) {
			if (count > maxBytes - this.size) {
				return Outcome.TOO_LARGE;
			}
			if (!ensureCapacity(this.size + count, bound) || !append(piece, count)) {
				return Outcome.SHED;
			}
		}
		return this.reservation.finish() ? Outcome.COMPLETE : Outcome.SHED;
	}

	// Returns the complete body without a copy.
	ByteBuffer bytes() {
		byte[] current = this.buffer;
		if (current == null) {
			throw new IllegalStateException("the body was discarded");
		}
		return ByteBuffer.wrap(current, 0, this.size);
	}

	// Returns the complete body as an array of its size; empty if there is no memory for
	// a copy.
	Option<byte[]> exactBytes() {
		byte[] current = this.buffer;
		if (current != null && current.length != this.size) {
			if (!this.reservation.reserveDiscardable(this.size)) {
				return Option.none();
			}
			current = Arrays.copyOf(current, this.size);
		}
		return Option.of(current);
	}

	// Drops the received part; called when the request is shed.
	synchronized void discard() {
		this.buffer = null;
	}

	private boolean ensureCapacity(int needed, int bound) {
		int capacity = capacity();
		if (needed <= capacity) {
			return true;
		}
		int next = nextCapacity(capacity, needed, bound);
		// Both arrays are in memory while the bytes are copied.
		if (!this.reservation.reserveDiscardable(next)) {
			return false;
		}
		if (!grow(next)) {
			return false;
		}
		this.reservation.release(capacity);
		return true;
	}

	// Doubles the capacity. The last step goes to the bound at once, so that a body of
	// the maximum size needs no more than one and a half times its size.
	private static int nextCapacity(int capacity, int needed, int bound) {
		if (3L * capacity >= bound && needed <= bound) {
			return bound;
		}
		long next = Math.max(needed, Math.max(2L * capacity, Math.min(FIRST_BYTES, bound)));
		return (int) Math.min(next, Math.max(needed, bound));
	}

	private synchronized int capacity() {
		return (this.buffer != null) ? this.buffer.length : 0;
	}

	private synchronized boolean grow(int capacity) {
		if (this.buffer == null) {
			return false;
		}
		this.buffer = Arrays.copyOf(this.buffer, capacity);
		return true;
	}

	private synchronized boolean append(byte[] piece, int count) {
		if (this.buffer == null) {
			return false;
		}
		System.arraycopy(piece, 0, this.buffer, this.size, count);
		this.size += count;
		return true;
	}

	/** How reading a body ended. */
	enum Outcome {

		/** The body was read to its end and is not shed any more. */
		COMPLETE,

		/** The body exceeds the limit. */
		TOO_LARGE,

		/** There is no memory for the body. */
		SHED

	}

}
