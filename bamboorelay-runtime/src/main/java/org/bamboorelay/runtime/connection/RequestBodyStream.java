package org.bamboorelay.runtime.connection;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;
import org.jspecify.annotations.Nullable;

/**
 * Body of a request. Closing it doesn't read the rest unless the listener has no limit
 * for it, because a rest that is read for nobody occupies its thread for as long as the
 * caller likes.
 * <p>
 * Must be used by one thread.
 */
final class RequestBodyStream extends FilterInputStream {

	private static final int PIECE_BYTES = 8_192;

	private boolean ended;

	private boolean restReadOnClose;

	private @Nullable FirstReadTask firstReadTask;

	RequestBodyStream(InputStream in) {
		super(in);
	}

	// Sets the task that asks the caller to send the body.
	void onFirstRead(FirstReadTask task) {
		this.firstReadTask = task;
	}

	// Returns whether the caller still waits to be asked for the body.
	boolean isAwaited() {
		return this.firstReadTask != null;
	}

	boolean isEnded() {
		return this.ended;
	}

	// Gives the rest up; the connection must be closed.
	void abandon() {
		this.ended = true;
	}

	// Reads the rest; returns false if it is larger than the limit.
	boolean discard(long maxBytes) throws IOException {
		byte[] bytes = new byte[PIECE_BYTES];
		long total = 0;
		while (total <= maxBytes) {
			int count = read(bytes, 0, bytes.length);
			if (count < 0) {
				return true;
			}
			total += count;
		}
		return false;
	}

	@Override
	public int read() throws IOException {
		byte[] single = new byte[1];
		return (read(single, 0, 1) < 0) ? -1 : single[0] & 0xFF;
	}

	@Override
	public int read(byte[] buffer, int offset, int length) throws IOException {
		if (this.ended) {
			return -1;
		}
		FirstReadTask task = this.firstReadTask;
		if (task != null) {
			this.firstReadTask = null;
			task.run();
		}
		int count = super.read(buffer, offset, length);
		this.ended = count < 0;
		return count;
	}

	// Lets HttpCore read the rest after it has sent the response.
	void readRestOnClose() {
		this.restReadOnClose = true;
	}

	@Override
	public void close() throws IOException {
		if (this.restReadOnClose) {
			discard(Long.MAX_VALUE);
		}
	}

	// Returns an entity with this stream as its content.
	HttpEntity entity(HttpEntity original) {
		return new BodyEntity(original);
	}

	/**
	 * Runs before the first byte of a body is read.
	 */
	@FunctionalInterface
	interface FirstReadTask {

		/**
		 * Asks the caller to send the body.
		 * @throws IOException if the connection fails
		 */
		void run() throws IOException;

	}

	private final class BodyEntity extends HttpEntityWrapper {

		private BodyEntity(HttpEntity entity) {
			super(entity);
		}

		@Override
		public InputStream getContent() {
			return RequestBodyStream.this;
		}

		@Override
		public void writeTo(OutputStream out) throws IOException {
			transferTo(out);
		}

		@Override
		public void close() throws IOException {
			RequestBodyStream.this.close();
		}

	}

}
