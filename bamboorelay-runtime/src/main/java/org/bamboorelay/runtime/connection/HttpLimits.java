package org.bamboorelay.runtime.connection;

/**
 * Size limits of HTTP messages, shared by all listeners and clients.
 */
public final class HttpLimits {

	/** Maximum length of a line in a message head, in bytes. */
	public static final int MAX_LINE_BYTES = 16_384;

	/** Maximum number of header fields of a message. */
	public static final int MAX_HEADERS = 100;

	/**
	 * Maximum size of a response head, including preceding interim responses, in bytes:
	 * equivalent to sixteen lines of maximum length.
	 */
	public static final int MAX_HEAD_BYTES = 16 * MAX_LINE_BYTES;

	/** Maximum size of a request body, in bytes. */
	public static final int MAX_REQUEST_BYTES = 4 * 1_048_576;

	/** Maximum size of a buffered response body, in bytes. */
	public static final int MAX_RESPONSE_BYTES = 8 * 1_048_576;

	private HttpLimits() {
	}

}
