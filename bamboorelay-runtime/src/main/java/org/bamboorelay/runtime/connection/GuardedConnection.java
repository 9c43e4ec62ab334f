package org.bamboorelay.runtime.connection;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.apache.hc.core5.util.Timeout;

/**
 * Client connection whose answers end by the clock and by their size, also where the
 * other side keeps sending a byte now and then, or bytes without end. It remembers the
 * tags that it carried and finds bytes that nobody asked for.
 * <p>
 * Used by one thread at a time; closing is thread-safe.
 */
final class GuardedConnection extends DefaultBHttpClientConnection {

	/**
	 * Tags that are remembered. A second copy of an answer comes within a few exchanges.
	 */
	private static final int REMEMBERED_TAGS = 64;

	private static final Timeout PROBE = Timeout.ofMilliseconds(1);

	private static final int UNLIMITED = Integer.MAX_VALUE;

	private final Deque<String> tags = new ArrayDeque<>();

	private int pauseMillis;

	private boolean bounded;

	private long endNanos;

	private long bytesLeft = UNLIMITED;

	private boolean probing;

	GuardedConnection(Http1Config config) {
		super(config);
	}

	@Override
	public void bind(Socket socket) throws IOException {
		bind(new GuardedSocket(socket));
	}

	// Begins an exchange: its head may have so many bytes and last so long.
	void begin(ExchangeOptions options, boolean kept) {
		long pause = kept ? Math.min(options.pauseMillis(), options.keptMillis()) : options.pauseMillis();
		setSocketTimeout(Timeout.ofMilliseconds(pause));
		this.pauseMillis = options.pauseMillis();
		this.bounded = options.wholeMillis() != ExchangeOptions.UNBOUNDED_MILLIS;
		this.endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.wholeMillis());
		this.bytesLeft = HttpLimits.MAX_HEAD_BYTES;
		if (!options.tag().isEmpty()) {
			this.tags.addLast(options.tag());
			if (this.tags.size() > REMEMBERED_TAGS) {
				this.tags.removeFirst();
			}
		}
	}

	// Notes that the head is whole, so that its own limits no longer hold.
	void headRead() {
		setSocketTimeout(Timeout.ofMilliseconds(this.pauseMillis));
		this.bytesLeft = UNLIMITED;
	}

	void within(long millis) {
		setSocketTimeout(Timeout.ofMilliseconds(millis));
		this.bounded = true;
		this.endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	// Ends an exchange, so that no bound of it applies to the next one.
	void end() {
		this.bounded = false;
		this.bytesLeft = UNLIMITED;
	}

	boolean carried(String tag) {
		return !tag.isEmpty() && this.tags.contains(tag);
	}

	// Tells whether bytes came that belong to no request. Does not wait.
	boolean hasUnreadBytes() throws IOException {
		this.probing = true;
		try {
			return isDataAvailable(PROBE);
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		finally {
			this.probing = false;
		}
	}

	private final class GuardedSocket extends SocketHolder {

		private GuardedSocket(Socket socket) {
			super(socket);
		}

		@Override
		protected InputStream getInputStream(Socket socket) throws IOException {
			return new GuardedInput(socket, super.getInputStream(socket));
		}

	}

	private final class GuardedInput extends InputStream {

		private final Socket socket;

		private final InputStream in;

		private GuardedInput(Socket socket, InputStream in) {
			this.socket = socket;
			this.in = in;
		}

		@Override
		public int read() throws IOException {
			byte[] one = new byte[1];
			return (read(one, 0, 1) < 0) ? -1 : one[0] & 0xFF;
		}

		@Override
		public int read(byte[] buffer, int offset, int length) throws IOException {
			GuardedConnection guard = GuardedConnection.this;
			if (guard.probing && this.in.available() == 0) {
				throw new SocketTimeoutException("no byte waits");
			}
			if (guard.bytesLeft <= 0) {
				throw new IOException("the head has more than " + HttpLimits.MAX_HEAD_BYTES + " bytes");
			}
			int count = guard.bounded ? readInTime(buffer, offset, length) : this.in.read(buffer, offset, length);
			if (guard.bytesLeft != UNLIMITED) {
				guard.bytesLeft -= Math.max(0, count);
			}
			return count;
		}

		private int readInTime(byte[] buffer, int offset, int length) throws IOException {
			long left = TimeUnit.NANOSECONDS.toMillis(GuardedConnection.this.endNanos - System.nanoTime());
			if (left <= 0) {
				throw new SocketTimeoutException("the answer took longer than it may");
			}
			int pause = this.socket.getSoTimeout();
			if (pause != 0 && pause <= left) {
				return this.in.read(buffer, offset, length);
			}
			this.socket.setSoTimeout((int) Math.min(Integer.MAX_VALUE, left));
			int count = this.in.read(buffer, offset, length);
			this.socket.setSoTimeout(pause);
			return count;
		}

	}

}
