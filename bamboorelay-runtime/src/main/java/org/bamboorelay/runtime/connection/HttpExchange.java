package org.bamboorelay.runtime.connection;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;

import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;

/**
 * An HTTP exchange on a client connection. The connection returns to its pool only if the
 * response was read to the end of its framing. Otherwise it is closed, so that a late
 * byte cannot be taken for the response to another request.
 * <p>
 * Must be used by one thread at a time; {@link #abort()} may be called by any thread.
 */
public final class HttpExchange implements AutoCloseable {

	private static final int CHUNK_BYTES = 8_192;

	/**
	 * Size up to which a response is not counted, in bytes, so that small responses are
	 * received while large ones use up the memory for responses.
	 */
	private static final int UNCOUNTED_BYTES = 16_384;

	private final HttpConnectionPool pool;

	private final String address;

	private final BoundedConnection connection;

	private final ClassicHttpResponse response;

	private final boolean keepAlive;

	private boolean reusable;

	private boolean closed;

	private long reservedBytes;

	HttpExchange(HttpConnectionPool pool, String address, BoundedConnection connection, ClassicHttpResponse response,
			boolean keepAlive) {
		this.pool = pool;
		this.address = address;
		this.connection = connection;
		this.response = response;
		this.reusable = keepAlive && response.getEntity() == null;
		this.keepAlive = keepAlive;
	}

	/**
	 * Returns the response head.
	 * @return the response
	 */
	public ClassicHttpResponse response() {
		return this.response;
	}

	/**
	 * Returns the response body for streaming. The caller must read it to its end and
	 * then call {@link #markComplete()} for the connection to be reused.
	 * @return the body, empty if the response has none
	 * @throws IOException if the connection fails
	 */
	public InputStream body() throws IOException {
		HttpEntity entity = this.response.getEntity();
		return (entity != null) ? entity.getContent() : InputStream.nullInputStream();
	}

	/**
	 * Returns whether the end of the body can be distinguished from a closed connection.
	 * @return true if the body has a length, is chunked, or is absent
	 */
	public boolean isFramed() {
		HttpEntity entity = this.response.getEntity();
		return entity == null || entity.isChunked() || entity.getContentLength() >= 0;
	}

	/**
	 * Reads the complete body.
	 * @param maxBytes maximum size of the body, in bytes
	 * @return the body, or a failure if it is truncated or too large
	 */
	public Either<HttpFailure, byte[]> readFully(int maxBytes) {
		ByteArrayOutputStream buffer = new ByteArrayOutputStream();
		long bytesRead = 0;
		try {
			InputStream body = body();
			byte[] chunk = new byte[CHUNK_BYTES];
			for (int count = body.read(chunk); count >= 0; count = body.read(chunk)) {
				bytesRead += count;
				if (!retain(bytesRead) || bytesRead > maxBytes) {
					this.reusable = false;
					abort();
					return Either.left(new HttpFailure.ResponseTooLarge("response of " + this.address + " exceeds "
							+ maxBytes + " bytes, or the limit for all buffered responses; bytes read: " + bytesRead));
				}
				buffer.write(chunk, 0, count);
			}
			markComplete();
			return Either.right(buffer.toByteArray());
		}
		catch (IOException ex) {
			boolean endedByPeer = wasEndedByPeer(ex);
			abort();
			return Either.left(new HttpFailure.Broken(
					"response of " + this.address + " was truncated: " + ex.getMessage(), endedByPeer));
		}
	}

	/**
	 * Reserves memory for the part of the response that the caller of this class keeps.
	 * It is released when the exchange is closed.
	 * @param bytes the size of the part, in bytes; replaces that of the last call
	 * @return whether the limit for all responses permits it; if not, the last
	 * reservation remains
	 */
	public boolean retain(long bytes) {
		long countedBytes = (bytes > UNCOUNTED_BYTES) ? bytes : 0;
		if (countedBytes <= this.reservedBytes) {
			this.pool.responseMemory().release(this.reservedBytes - countedBytes);
		}
		else if (!this.pool.responseMemory().reserve(countedBytes - this.reservedBytes)) {
			return false;
		}
		this.reservedBytes = countedBytes;
		return true;
	}

	/**
	 * Marks the body as read to the end of its framing, so that the connection may be
	 * reused.
	 */
	public void markComplete() {
		this.reusable = this.keepAlive;
	}

	/**
	 * Sets a deadline for the next part of the response, regardless of how many bytes
	 * arrive. It replaces all earlier time limits.
	 * @param millis maximum time until the part is read, in milliseconds
	 */
	public void setDeadline(long millis) {
		this.connection.setDeadline(millis);
	}

	/**
	 * Returns whether the server ended the connection.
	 * @param ex the failure to read the response
	 * @return whether the server closed or reset the connection before the response was
	 * complete; false if this process did, or if a time limit passed
	 */
	public boolean wasEndedByPeer(IOException ex) {
		return this.connection.wasEndedByPeer(ex);
	}

	/**
	 * Closes the connection immediately and discards pending data.
	 */
	public void abort() {
		this.connection.abort();
	}

	@Override
	public void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		retain(0);
		if (this.reusable && this.connection.isOpen()) {
			this.pool.release(this.address, this.connection);
		}
		else {
			this.pool.discard(this.connection);
		}
	}

}
