package org.bamboorelay.runtime.connection;

import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Reports the size of a request head to its connection after each line.
 * <p>
 * Must be used by one thread.
 */
final class RequestHeadBuffer implements SessionInputBuffer {

	private final SessionInputBuffer buffer;

	private final LineListener listener;

	private final long startBytes;

	RequestHeadBuffer(SessionInputBuffer buffer, LineListener listener) {
		this.buffer = buffer;
		this.listener = listener;
		this.startBytes = consumedBytes();
	}

	@Override
	public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
		int length = this.buffer.readLine(line, in);
		this.listener.onLine(consumedBytes() - this.startBytes, line.length());
		return length;
	}

	@Override
	public int length() {
		return this.buffer.length();
	}

	@Override
	public int capacity() {
		return this.buffer.capacity();
	}

	@Override
	public int available() {
		return this.buffer.available();
	}

	@Override
	public int read(byte[] bytes, int offset, int length, InputStream in) throws IOException {
		return this.buffer.read(bytes, offset, length, in);
	}

	@Override
	public int read(byte[] bytes, InputStream in) throws IOException {
		return this.buffer.read(bytes, in);
	}

	@Override
	public int read(InputStream in) throws IOException {
		return this.buffer.read(in);
	}

	@Override
	public HttpTransportMetrics getMetrics() {
		return this.buffer.getMetrics();
	}

	private long consumedBytes() {
		return this.buffer.getMetrics().getBytesTransferred() - this.buffer.length();
	}

	/**
	 * Receives the lines of a head.
	 */
	@FunctionalInterface
	interface LineListener {

		/**
		 * Called after each line.
		 * @param headBytes the size of the head up to the end of the line, in bytes
		 * @param lineCharacters the length of the line, in characters
		 * @throws IOException if the head violates a limit
		 */
		void onLine(long headBytes, int lineCharacters) throws IOException;

	}

}
