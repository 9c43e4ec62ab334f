package org.bamboorelay.runtime.connection;

import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.bamboorelay.core.process.MemoryAccount;
import org.bamboorelay.core.process.MemoryOrigin;
import org.jspecify.annotations.Nullable;

/**
 * Connection of a caller, which enforces the limits of its listener and reserves the
 * memory of each request.
 * <p>
 * It is closed if writing a response body fails. HttpCore would otherwise terminate a
 * chunked body with its last chunk, so that a truncated response would appear complete.
 * <p>
 * Must be used by one thread at a time; closing and the methods without a comment on
 * threads of the listener are thread-safe.
 */
final class CallerConnection extends DefaultBHttpServerConnection {

	/** The connection that the current thread serves. */
	private static final ThreadLocal<@Nullable CallerConnection> CURRENT = new ThreadLocal<>();

	private static final int STATUS_TIMEOUT = 408;

	private static final int STATUS_URI_TOO_LONG = 414;

	private static final int STATUS_HEAD_TOO_LARGE = 431;

	private static final int STATUS_UNAVAILABLE = 503;

	/**
	 * Heap that a header line occupies besides its characters, in bytes: measured as some
	 * 300 bytes for the line, its field and its copy for the endpoint.
	 */
	private static final long HEADER_LINE_BYTES = 300;

	/** Heap that a character of a header line occupies, in bytes. */
	private static final long CHARACTER_BYTES = 2;

	/** Size of the parts in which the memory of a head is reserved, in bytes. */
	private static final long HEAD_PART_BYTES = 8_192;

	/**
	 * Maximum time to read an unread body before its connection is closed, in
	 * milliseconds.
	 */
	private static final long LINGER_MILLIS = 500;

	/**
	 * Maximum size of the part of an unread body that is read before a connection is
	 * closed, in bytes. Unread bytes reset the connection, which discards the response.
	 */
	private static final long LINGER_BYTES = 1_048_576;

	private final ListenerOptions options;

	private final Consumer<CallerConnection> onClose;

	private @Nullable Socket socket;

	private volatile ListenerLimits limits;

	private final RequestProgress progress = new RequestProgress();

	/** Time at which the current write began; 0 if there is none. */
	private volatile long writeStartNanos;

	private long reservedHeadBytes;

	private boolean probing;

	private boolean lingering;

	private @Nullable RequestBodyStream body;

	private volatile MemoryAccount.@Nullable Reservation reservation;

	private volatile @Nullable Runnable discardTask;

	CallerConnection(Http1Config config, ListenerOptions options, Consumer<CallerConnection> onClose) {
		super("http", config, null, null, null, null, CompleteHeads.requests(config, CallerConnection::onCurrentLine),
				null);
		this.options = options;
		this.limits = options.limits().get();
		this.onClose = onClose;
	}

	// Returns the connection that the current thread serves; null outside of a request.
	static @Nullable CallerConnection current() {
		return CURRENT.get();
	}

	@Override
	public void bind(Socket socket) throws IOException {
		this.socket = socket;
		bind(new LimitedSocket(socket));
	}

	@Override
	public ClassicHttpRequest receiveRequestHeader() throws HttpException, IOException {
		CURRENT.set(this);
		endRequest();
		if (this.body != null && !this.body.isEnded()) {
			throw new IOException("the body of the last request was not read");
		}
		this.body = null;
		this.limits = this.options.limits().get();
		this.progress.enter(RequestProgress.Phase.IDLE);
		try {
			ClassicHttpRequest request = super.receiveRequestHeader();
			this.progress.enter(RequestProgress.Phase.BODY);
			return request;
		}
		catch (HeadLimitException ex) {
			throw ex.rejection;
		}
		catch (SocketTimeoutException ex) {
			if (this.progress.phase() == RequestProgress.Phase.HEAD) {
				throw new RequestRejectedException(STATUS_TIMEOUT, String.valueOf(ex.getMessage()));
			}
			throw ex;
		}
		catch (IOException ex) {
			if (isShed()) {
				throw unavailable();
			}
			throw ex;
		}
	}

	@Override
	public void receiveRequestEntity(ClassicHttpRequest request) throws HttpException, IOException {
		super.receiveRequestEntity(request);
		HttpEntity entity = request.getEntity();
		if (entity != null) {
			RequestBodyStream stream = new RequestBodyStream(entity.getContent());
			this.body = stream;
			request.setEntity(stream.entity(entity));
		}
	}

	@Override
	public void sendResponseEntity(ClassicHttpResponse response) throws HttpException, IOException {
		HttpEntity entity = response.getEntity();
		if (entity != null) {
			response.setEntity(new AbortingEntity(entity, this));
		}
		super.sendResponseEntity(response);
	}

	// Reads the rest of the body of a request that is answered without it. If the body
	// is too large, prepares the connection to be closed after the response.
	boolean discardBody(ClassicHttpRequest request) {
		RequestBodyStream unread = this.body;
		if (unread == null || unread.isEnded()) {
			return true;
		}
		if (this.limits.maxDiscardedBytes() == Long.MAX_VALUE && !unread.isAwaited()) {
			unread.readRestOnClose();
			return true;
		}
		this.progress.enter(RequestProgress.Phase.DISCARD);
		try {
			if (!isShed() && !unread.isAwaited() && unread.discard(this.limits.maxDiscardedBytes())) {
				return true;
			}
		}
		catch (IOException ex) {
			// The response is sent nevertheless; the caller may still read.
		}
		request.setEntity(null);
		unread.abandon();
		this.lingering = true;
		return false;
	}

	// Sets the task that asks the caller to send the body, which runs before its first
	// byte is read.
	void onFirstRead(RequestBodyStream.FirstReadTask task) {
		if (this.body != null) {
			this.body.onFirstRead(task);
		}
	}

	// Reads unread bytes before the connection is closed, so that the caller receives the
	// response.
	void lingerOnClose() {
		this.lingering = true;
	}

	// Returns the reservation of the current request.
	MemoryAccount.Reservation reservation() {
		MemoryAccount.Reservation current = this.reservation;
		if (current == null) {
			Socket bound = this.socket;
			String address = (bound != null && bound.getInetAddress() != null) ? bound.getInetAddress().getHostAddress()
					: "";
			current = this.options.memory().open(MemoryOrigin.CALLER_REQUESTS, address, this::onShed);
			this.reservation = current;
		}
		return current;
	}

	// Sets the task that discards the received part of the body if the request is shed.
	void onDiscard(Runnable task) {
		this.discardTask = task;
	}

	// Releases the memory of the current request.
	void endRequest() {
		MemoryAccount.Reservation current = this.reservation;
		this.reservation = null;
		this.discardTask = null;
		this.reservedHeadBytes = 0;
		if (current != null) {
			current.close();
		}
	}

	// Returns how long a caller that is refused now should wait, in milliseconds.
	long retryAfterMillis() {
		return this.options.memory().retryAfterMillis(MemoryAccount.SMALL_BYTES + 1, this.limits.idleTimeoutMillis());
	}

	// Returns since when the connection waits for a request; Long.MAX_VALUE if it does
	// not or has unread bytes. Thread-safe.
	long idleSinceNanos() {
		Socket bound = this.socket;
		try {
			boolean idle = this.progress.phase() == RequestProgress.Phase.IDLE && bound != null
					&& bound.getInputStream().available() == 0;
			return idle ? this.progress.phaseStartNanos() : Long.MAX_VALUE;
		}
		catch (IOException ex) {
			// The connection is closed already.
			return Long.MAX_VALUE;
		}
	}

	// Closes the connection if its caller does not read. Thread-safe.
	void closeIfWriteStalled(long nowNanos) {
		long start = this.writeStartNanos;
		if (start != 0 && nowNanos - start > TimeUnit.MILLISECONDS.toNanos(this.limits.writeTimeoutMillis())) {
			closeSocket();
		}
	}

	boolean isCallerGone() {
		try {
			return !isOpen() || isStale();
		}
		catch (IOException ex) {
			return true;
		}
	}

	@Override
	public boolean isStale() throws IOException {
		this.probing = true;
		try {
			return super.isStale();
		}
		finally {
			this.probing = false;
		}
	}

	@Override
	public boolean isDataAvailable(Timeout timeout) throws IOException {
		this.probing = true;
		try {
			return super.isDataAvailable(timeout);
		}
		finally {
			this.probing = false;
		}
	}

	@Override
	public void close() throws IOException {
		try {
			linger();
		}
		finally {
			onClosed();
			super.close();
		}
	}

	@Override
	public void close(CloseMode closeMode) {
		onClosed();
		super.close(closeMode);
	}

	@Nullable Socket socket() {
		return this.socket;
	}

	private void onClosed() {
		endRequest();
		this.onClose.accept(this);
	}

	private void linger() throws IOException {
		Socket bound = this.socket;
		if (!this.lingering || bound == null || bound.isClosed()) {
			return;
		}
		this.lingering = false;
		flush();
		bound.shutdownOutput();
		bound.setSoTimeout((int) LINGER_MILLIS);
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LINGER_MILLIS);
		byte[] bytes = new byte[(int) HEAD_PART_BYTES];
		long total = 0;
		try {
			InputStream in = bound.getInputStream();
			for (int count = 0; count >= 0 && total < LINGER_BYTES && System.nanoTime() < endNanos; total += count) {
				count = in.read(bytes);
			}
		}
		catch (IOException ex) {
			// The caller was slow or left; the connection is closed in any case.
		}
	}

	private boolean isShed() {
		MemoryAccount.Reservation current = this.reservation;
		return current != null && current.isShed();
	}

	// Runs on the thread of another connection. Ends the pending read of this one.
	private void onShed() {
		Runnable task = this.discardTask;
		if (task != null) {
			task.run();
		}
		Socket bound = this.socket;
		try {
			if (bound != null) {
				bound.shutdownInput();
			}
		}
		catch (IOException ex) {
			// The connection is closed already.
		}
	}

	private RequestRejectedException unavailable() {
		return new RequestRejectedException(STATUS_UNAVAILABLE, "memory", retryAfterMillis());
	}

	private static void onCurrentLine(long headBytes, int lineCharacters) throws IOException {
		CallerConnection connection = CURRENT.get();
		if (connection != null) {
			connection.onLine(headBytes, lineCharacters);
		}
	}

	private void onLine(long headBytes, int lineCharacters) throws IOException {
		if (this.progress.phase() == RequestProgress.Phase.IDLE) {
			this.progress.enter(RequestProgress.Phase.HEAD);
		}
		checkHeadSize(headBytes);
		this.reservedHeadBytes -= HEADER_LINE_BYTES + CHARACTER_BYTES * lineCharacters;
		if (this.reservedHeadBytes < 0) {
			long part = Math.max(HEAD_PART_BYTES, -this.reservedHeadBytes);
			if (!reservation().reserve(part)) {
				throw new HeadLimitException(unavailable());
			}
			this.reservedHeadBytes += part;
		}
	}

	private void checkHeadSize(long headBytes) throws HeadLimitException {
		long maxBytes = this.limits.maxHeaderBytes();
		if (headBytes > maxBytes) {
			int status = (this.reservation != null) ? STATUS_HEAD_TOO_LARGE : STATUS_URI_TOO_LONG;
			throw new HeadLimitException(
					new RequestRejectedException(status, "the request head exceeds max_header_bytes = " + maxBytes));
		}
	}

	private int read(InputStream in, Socket source, byte[] buffer, int offset, int length) throws IOException {
		if (this.probing) {
			return in.read(buffer, offset, length);
		}
		long remainingMillis = this.progress.remainingMillis(this.limits);
		if (remainingMillis <= 0) {
			throw this.progress.timeout(this.limits);
		}
		source.setSoTimeout((int) Math.min(Integer.MAX_VALUE, remainingMillis));
		int count;
		try {
			count = in.read(buffer, offset, length);
		}
		catch (SocketTimeoutException ex) {
			throw this.progress.timeout(this.limits);
		}
		if (count > 0) {
			this.progress.onRead(count);
			if (this.progress.phase() == RequestProgress.Phase.IDLE) {
				this.progress.enter(RequestProgress.Phase.HEAD);
			}
			if (this.progress.phase() == RequestProgress.Phase.HEAD) {
				// Bounds a line without an end. The buffer may contain the start of the
				// body.
				checkHeadSize(this.progress.phaseBytes() - buffer.length);
			}
		}
		return count;
	}

	private void write(OutputStream out, byte[] buffer, int offset, int length) throws IOException {
		for (int written = 0; written < length; written += ListenerLimits.WRITE_PIECE_BYTES) {
			this.writeStartNanos = Math.max(1, System.nanoTime());
			try {
				out.write(buffer, offset + written, Math.min(ListenerLimits.WRITE_PIECE_BYTES, length - written));
			}
			finally {
				this.writeStartNanos = 0;
			}
		}
	}

	private void closeSocket() {
		Socket bound = this.socket;
		try {
			if (bound != null) {
				bound.close();
			}
		}
		catch (IOException ex) {
			// The connection is closed already.
		}
	}

	/** Carries a rejection through the parser, which throws only these failures. */
	private static final class HeadLimitException extends IOException {

		private static final long serialVersionUID = 1L;

		private final RequestRejectedException rejection;

		private HeadLimitException(RequestRejectedException rejection) {
			super(rejection);
			this.rejection = rejection;
		}

	}

	private final class LimitedSocket extends SocketHolder {

		private LimitedSocket(Socket socket) {
			super(socket);
		}

		@Override
		protected InputStream getInputStream(Socket socket) throws IOException {
			return new FilterInputStream(super.getInputStream(socket)) {

				@Override
				public int read() throws IOException {
					byte[] single = new byte[1];
					return (read(single, 0, 1) < 0) ? -1 : single[0] & 0xFF;
				}

				@Override
				public int read(byte[] buffer, int offset, int length) throws IOException {
					return CallerConnection.this.read(this.in, socket, buffer, offset, length);
				}

			};
		}

		@Override
		protected OutputStream getOutputStream(Socket socket) throws IOException {
			return new FilterOutputStream(super.getOutputStream(socket)) {

				@Override
				public void write(int single) throws IOException {
					write(new byte[] { (byte) single }, 0, 1);
				}

				@Override
				public void write(byte[] buffer, int offset, int length) throws IOException {
					CallerConnection.this.write(this.out, buffer, offset, length);
				}

			};
		}

	}

}
