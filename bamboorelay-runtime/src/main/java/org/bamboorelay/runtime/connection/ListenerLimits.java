package org.bamboorelay.runtime.connection;

/**
 * Limits of a listener on the size and the progress of requests and responses. All times
 * are measured by the clock, however many reads or writes they take.
 * <p>
 * Immutable and thread-safe.
 *
 * @param maxHeaderBytes maximum size of a request head, in bytes; the number of its lines
 * is not limited otherwise
 * @param headerTimeoutMillis maximum time from the first byte of a request head to its
 * end, in milliseconds
 * @param idleTimeoutMillis maximum time without a byte of the next request or of the body
 * of the current one, in milliseconds
 * @param minBodyBytesPerSecond minimum mean rate of a body, checked once the idle timeout
 * has passed; 0 for none
 * @param writeTimeoutMillis maximum time for {@value #WRITE_PIECE_BYTES} bytes of a
 * response to be accepted by the connection, in milliseconds
 * @param maxDiscardedBytes number of bytes of an unread body that are read after its
 * request was answered, so that the connection stays open
 */
public record ListenerLimits(long maxHeaderBytes, long headerTimeoutMillis, long idleTimeoutMillis,
		long minBodyBytesPerSecond, long writeTimeoutMillis, long maxDiscardedBytes) {

	/** Number of bytes to which the write timeout applies. */
	static final int WRITE_PIECE_BYTES = 16_384;

	/** Limits of listeners that serve no uncontrolled callers. */
	public static final ListenerLimits DEFAULTS = new ListenerLimits(4 * HttpLimits.MAX_LINE_BYTES, 60_000, 60_000, 0,
			600_000, Long.MAX_VALUE);

	/** Limits of listeners that serve only small requests, such as probes. */
	public static final ListenerLimits SMALL = new ListenerLimits(HttpLimits.MAX_LINE_BYTES, 3_000, 15_000, 1_000,
			15_000, 0);

	public ListenerLimits {
		if (maxHeaderBytes <= 0 || headerTimeoutMillis <= 0 || idleTimeoutMillis <= 0 || writeTimeoutMillis <= 0) {
			throw new IllegalArgumentException(
					"limits must be positive: head " + maxHeaderBytes + " bytes, " + headerTimeoutMillis + " ms, idle "
							+ idleTimeoutMillis + " ms, write " + writeTimeoutMillis + " ms");
		}
		if (minBodyBytesPerSecond < 0 || maxDiscardedBytes < 0) {
			throw new IllegalArgumentException("limits must not be negative: rate " + minBodyBytesPerSecond
					+ " bytes per second, discarded " + maxDiscardedBytes + " bytes");
		}
	}

}
