package org.bamboorelay.core.version;

/**
 * Limits on what a caller may send.
 * <p>
 * Immutable and thread-safe.
 *
 * @param headerBytes the largest head of a request, in bytes
 * @param bodyBytes the largest body of a request, in bytes
 * @param headerMillis the longest time that a head may take, in milliseconds
 * @param idleMillis the longest time that a connection may stay idle, in milliseconds
 */
public record CallerLimits(long headerBytes, long bodyBytes, long headerMillis, long idleMillis) {

	public CallerLimits {
		if (bodyBytes < 0 || idleMillis <= 0) {
			throw new IllegalArgumentException("bad limits: body " + bodyBytes + " bytes, idle " + idleMillis + " ms");
		}
	}

}
