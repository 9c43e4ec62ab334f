package org.bamboorelay.runtime.connection;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.NoHttpResponseException;
import org.apache.hc.core5.http.TruncatedChunkException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * Client connection that enforces a deadline and a size limit on responses, including
 * those of servers that trickle bytes or never stop sending. It also records the tags of
 * recent exchanges and detects bytes that belong to no request.
 * <p>
 * Must be used by one thread at a time; closing is thread-safe.
 */
final class BoundedConnection extends DefaultBHttpClientConnection {

	/**
	 * Number of recorded tags. A duplicate of a response arrives within a few exchanges.
	 */
	private static final int MAX_RECORDED_TAGS = 64;

	private static final Timeout PROBE_TIMEOUT = Timeout.ofMilliseconds(1);

	private static final int UNLIMITED = Integer.MAX_VALUE;

	/**
	 * Maximum time for a part of a request to be accepted by the connection, in
	 * milliseconds; the same as for responses to callers.
	 */
	private static final long WRITE_TIMEOUT_MILLIS = 15_000;

	private final Deque<String> tags = new ArrayDeque<>();

	private int readTimeoutMillis;

	private boolean hasDeadline;

	private long deadlineNanos;

	private long remainingBytes = UNLIMITED;

	private boolean probing;

	/** Time at which the current write began; 0 if there is none. */
	private volatile long writeStartNanos;

	private volatile boolean aborted;

	BoundedConnection(Http1Config config) {
		super(config, null, null, null, null, null, CompleteHeads.responses());
	}

	@Override
	public void bind(Socket socket) throws IOException {
		bind(new BoundedSocket(socket));
	}

	// Starts an exchange and applies the time and size limits of the response head.
	void startExchange(ExchangeOptions options, boolean reused) {
		long timeoutMillis = reused ? Math.min(options.readTimeoutMillis(), options.reusedHeadTimeoutMillis())
				: options.readTimeoutMillis();
		setSocketTimeout(Timeout.ofMilliseconds(timeoutMillis));
		this.readTimeoutMillis = options.readTimeoutMillis();
		this.hasDeadline = options.totalTimeoutMillis() != ExchangeOptions.NO_LIMIT_MILLIS;
		this.deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.totalTimeoutMillis());
		this.remainingBytes = HttpLimits.MAX_HEAD_BYTES;
		if (!options.tag().isEmpty()) {
			this.tags.addLast(options.tag());
			if (this.tags.size() > MAX_RECORDED_TAGS) {
				this.tags.removeFirst();
			}
		}
	}

	// Called when the response head is complete; removes the limits of the head.
	void headReceived() {
		setSocketTimeout(Timeout.ofMilliseconds(this.readTimeoutMillis));
		this.remainingBytes = UNLIMITED;
	}

	void setDeadline(long millis) {
		setSocketTimeout(Timeout.ofMilliseconds(millis));
		this.hasDeadline = true;
		this.deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	// Closes the connection at once.
	void abort() {
		this.aborted = true;
		close(CloseMode.IMMEDIATE);
	}

	// Returns whether a failure to read means that the peer closed or reset the
	// connection.
	boolean wasEndedByPeer(Exception failure) {
		return !this.aborted && (failure instanceof ConnectionClosedException
				|| failure instanceof NoHttpResponseException || failure instanceof TruncatedChunkException
				|| (failure instanceof SocketException && !(failure instanceof ConnectException)));
	}

	// Closes the connection if the server does not read the request in time. May be
	// called by any thread.
	void abortIfWriteStalled(long nowNanos) {
		long start = this.writeStartNanos;
		if (start != 0 && (nowNanos - start > TimeUnit.MILLISECONDS.toNanos(WRITE_TIMEOUT_MILLIS)
				|| (this.hasDeadline && nowNanos - this.deadlineNanos > 0))) {
			abort();
		}
	}

	// Ends an exchange and removes its limits.
	void endExchange() {
		this.hasDeadline = false;
		this.remainingBytes = UNLIMITED;
	}

	boolean hasCarried(String tag) {
		return !tag.isEmpty() && this.tags.contains(tag);
	}

	// Returns whether bytes were received that belong to no request. Does not block.
	boolean hasUnreadBytes() throws IOException {
		this.probing = true;
		try {
			return isDataAvailable(PROBE_TIMEOUT);
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		finally {
			this.probing = false;
		}
	}

	private final class BoundedSocket extends SocketHolder {

		private BoundedSocket(Socket socket) {
			super(socket);
		}

		@Override
		protected InputStream getInputStream(Socket socket) throws IOException {
			return new BoundedInputStream(socket, super.getInputStream(socket));
		}

		@Override
		protected OutputStream getOutputStream(Socket socket) throws IOException {
			return new MonitoredOutputStream(super.getOutputStream(socket));
		}

	}

	private final class MonitoredOutputStream extends FilterOutputStream {

		private MonitoredOutputStream(OutputStream out) {
			super(out);
		}

		@Override
		public void write(int single) throws IOException {
			write(new byte[] { (byte) single }, 0, 1);
		}

		@Override
		public void write(byte[] buffer, int offset, int length) throws IOException {
			for (int written = 0; written < length; written += ListenerLimits.WRITE_PIECE_BYTES) {
				BoundedConnection.this.writeStartNanos = Math.max(1, System.nanoTime());
				try {
					this.out.write(buffer, offset + written,
							Math.min(ListenerLimits.WRITE_PIECE_BYTES, length - written));
				}
				finally {
					BoundedConnection.this.writeStartNanos = 0;
				}
			}
		}

	}

	private final class BoundedInputStream extends InputStream {

		private final Socket socket;

		private final InputStream in;

		private BoundedInputStream(Socket socket, InputStream in) {
			this.socket = socket;
			this.in = in;
		}

		@Override
		public int read() throws IOException {
			byte[] single = new byte[1];
			return (read(single, 0, 1) < 0) ? -1 : single[0] & 0xFF;
		}

		@Override
		public int read(byte[] buffer, int offset, int length) throws IOException {
			BoundedConnection connection = BoundedConnection.this;
			if (connection.probing && this.in.available() == 0) {
				throw new SocketTimeoutException("no bytes available");
			}
			if (connection.remainingBytes <= 0) {
				throw new IOException("response head exceeds " + HttpLimits.MAX_HEAD_BYTES + " bytes");
			}
			int count = connection.hasDeadline ? readBeforeDeadline(buffer, offset, length)
					: this.in.read(buffer, offset, length);
			if (connection.remainingBytes != UNLIMITED) {
				connection.remainingBytes -= Math.max(0, count);
			}
			return count;
		}

		private int readBeforeDeadline(byte[] buffer, int offset, int length) throws IOException {
			long remainingMillis = TimeUnit.NANOSECONDS
				.toMillis(BoundedConnection.this.deadlineNanos - System.nanoTime());
			if (remainingMillis <= 0) {
				throw new SocketTimeoutException("response not complete before its deadline");
			}
			int timeoutMillis = this.socket.getSoTimeout();
			if (timeoutMillis != 0 && timeoutMillis <= remainingMillis) {
				return this.in.read(buffer, offset, length);
			}
			this.socket.setSoTimeout((int) Math.min(Integer.MAX_VALUE, remainingMillis));
			int count = this.in.read(buffer, offset, length);
			this.socket.setSoTimeout(timeoutMillis);
			return count;
		}

	}

}
