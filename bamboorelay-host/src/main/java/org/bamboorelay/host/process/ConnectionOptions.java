package org.bamboorelay.host.process;

/**
 * Options for the connections of callers.
 * <p>
 * Immutable and thread-safe.
 *
 * @param maxConnections maximum number of connections of callers; 0 to derive it from the
 * descriptors and the memory of the machine
 * @param minBodyBytesPerSecond minimum mean rate of a request body, checked once the idle
 * timeout of the configuration has passed; 0 for none
 * @param writeTimeoutMillis maximum time for 16,384 bytes of a response to be accepted by
 * a connection, in milliseconds
 */
public record ConnectionOptions(int maxConnections, long minBodyBytesPerSecond, long writeTimeoutMillis) {

	/**
	 * The default options. 1,000 bytes per second is a thousandth of the slowest link.
	 */
	static final ConnectionOptions DEFAULTS = new ConnectionOptions(0, 1_000, 15_000);

	private static final long MAX_BYTES_PER_SECOND = 1_000_000_000;

	private static final long MAX_WRITE_TIMEOUT_MILLIS = 600_000;

	public ConnectionOptions {
		if (maxConnections < 0) {
			throw new IllegalArgumentException("connections.max_connections must not be negative: " + maxConnections);
		}
		if (minBodyBytesPerSecond < 0 || minBodyBytesPerSecond > MAX_BYTES_PER_SECOND) {
			throw new IllegalArgumentException("connections.min_body_bytes_per_second must be 0 to "
					+ MAX_BYTES_PER_SECOND + ": " + minBodyBytesPerSecond);
		}
		if (writeTimeoutMillis <= 0 || writeTimeoutMillis > MAX_WRITE_TIMEOUT_MILLIS) {
			throw new IllegalArgumentException("connections.write_timeout must be 1 to " + MAX_WRITE_TIMEOUT_MILLIS
					+ " ms: " + writeTimeoutMillis);
		}
	}

}
