package org.bamboorelay.runtime.connection;

/**
 * Limits of HTTP messages, the same for each listener and client.
 */
public final class HttpLimits {

	/** The longest line of a message head, in bytes. */
	public static final int MAX_LINE_BYTES = 16_384;

	/** The most header fields of a message. */
	public static final int MAX_HEADERS = 100;

	/**
	 * The largest head of an answer, with interim answers before it, in bytes: some
	 * sixteen longest lines.
	 */
	public static final int MAX_HEAD_BYTES = 16 * MAX_LINE_BYTES;

	/** The largest body of a request, in bytes. */
	public static final int MAX_REQUEST_BYTES = 4 * 1_048_576;

	/** The largest answer that is buffered, in bytes. */
	public static final int MAX_ANSWER_BYTES = 8 * 1_048_576;

	private HttpLimits() {
	}

}
