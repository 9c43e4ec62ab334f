package org.bamboorelay.core.version;

/**
 * Limits on the requests and connections of callers.
 * <p>
 * Immutable and thread-safe.
 *
 * @param headerBytes maximum size of a request head, in bytes
 * @param bodyBytes maximum size of a request body, in bytes
 * @param headerMillis maximum time to receive a request head, in milliseconds
 * @param idleMillis maximum idle time of a connection, in milliseconds
 */
public record CallerLimits(long headerBytes, long bodyBytes, long headerMillis, long idleMillis) {

	public CallerLimits {
		if (bodyBytes < 0 || idleMillis <= 0) {
			throw new IllegalArgumentException("invalid caller limits: body " + bodyBytes + " bytes, idle " + idleMillis + " ms");
		}
	}

}
