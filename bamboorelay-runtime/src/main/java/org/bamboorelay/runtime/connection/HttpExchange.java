package org.bamboorelay.runtime.connection;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;

import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.io.CloseMode;

/**
 * One exchange on a client connection. The connection goes back to its pool only after
 * the answer was read to the end of its framing; otherwise it is closed, so that no late
 * byte reaches another request.
 * <p>
 * Used by one thread at a time; {@link #abort()} may be called by any thread.
 */
public final class HttpExchange implements AutoCloseable {

	private static final int PART_BYTES = 8_192;

	private final HttpConnectionPool pool;

	private final String address;

	private final GuardedConnection connection;

	private final ClassicHttpResponse response;

	private final boolean keepAlive;

	private boolean reusable;

	private boolean done;

	HttpExchange(HttpConnectionPool pool, String address, GuardedConnection connection, ClassicHttpResponse response,
			boolean keepAlive) {
		this.pool = pool;
		this.address = address;
		this.connection = connection;
		this.response = response;
		this.reusable = keepAlive && response.getEntity() == null;
		this.keepAlive = keepAlive;
	}

	/**
	 * Returns the head of the answer.
	 * @return the answer
	 */
	public ClassicHttpResponse response() {
		return this.response;
	}

	/**
	 * Returns the body for streaming. The caller reads it to its end and then calls
	 * {@link #markWhole()}.
	 * @return the body, empty where there is none
	 * @throws IOException where the connection breaks
	 */
	public InputStream body() throws IOException {
		HttpEntity entity = this.response.getEntity();
		return (entity != null) ? entity.getContent() : InputStream.nullInputStream();
	}

	/**
	 * Tells whether the end of the body can be told from a cut connection.
	 * @return whether the body has a length or comes in chunks
	 */
	public boolean isFramed() {
		HttpEntity entity = this.response.getEntity();
		return entity == null || entity.isChunked() || entity.getContentLength() >= 0;
	}

	/**
	 * Reads the whole body.
	 * @param maxBytes the largest body that is taken, in bytes
	 * @return the body, or a failure where it is truncated or too large
	 */
	public Either<HttpFailure, byte[]> readWhole(int maxBytes) {
		ByteArrayOutputStream whole = new ByteArrayOutputStream();
		long held = 0;
		try {
			InputStream body = body();
			byte[] part = new byte[PART_BYTES];
			for (int count = body.read(part); count >= 0; count = body.read(part)) {
				held += count;
				if (!this.pool.hold(count) || held > maxBytes) {
					this.reusable = false;
					abort();
					return Either.left(new HttpFailure.AnswerTooLarge("answer of " + this.address + " has more than "
							+ maxBytes + " bytes, or all answers together have too many, after " + held));
				}
				whole.write(part, 0, count);
			}
			markWhole();
			return Either.right(whole.toByteArray());
		}
		catch (IOException ex) {
			abort();
			return Either.left(new HttpFailure.Broken("answer of " + this.address + " was cut: " + ex.getMessage()));
		}
		finally {
			this.pool.giveBack(held);
		}
	}

	/**
	 * Notes that the body was read to the end of its framing, so that the connection may
	 * be used again.
	 */
	public void markWhole() {
		this.reusable = this.keepAlive;
	}

	/**
	 * Bounds the time for the next part of the answer, however many bytes come meanwhile.
	 * It takes the place of all bounds before.
	 * @param millis the longest time until the part is read, in milliseconds
	 */
	public void within(long millis) {
		this.connection.within(millis);
	}

	/**
	 * Closes the connection at once, whatever is still on its way.
	 */
	public void abort() {
		this.connection.close(CloseMode.IMMEDIATE);
	}

	@Override
	public void close() {
		if (this.done) {
			return;
		}
		this.done = true;
		if (this.reusable && this.connection.isOpen()) {
			this.pool.release(this.address, this.connection);
		}
		else {
			this.pool.drop(this.connection);
		}
	}

}
