package org.bamboorelay.core.version;

/**
 * Limits on the requests and connections of callers.
 * <p>
 * Immutable and thread-safe.
 *
 * @param maxHeaderBytes maximum size of a request head, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMillis maximum time to receive a request head, in milliseconds
 * @param idleTimeoutMillis maximum idle time of a connection, in milliseconds
 */
public record CallerLimits(long maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	public CallerLimits {
		if (maxBodyBytes < 0 || idleTimeoutMillis <= 0) {
			throw new IllegalArgumentException(
					"invalid caller limits: body " + maxBodyBytes + " bytes, idle " + idleTimeoutMillis + " ms");
		}
	}

}
