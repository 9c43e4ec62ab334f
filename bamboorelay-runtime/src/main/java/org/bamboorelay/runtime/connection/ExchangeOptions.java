package org.bamboorelay.runtime.connection;

import java.util.Objects;

/**
 * Options and time limits of an HTTP exchange.
 * <p>
 * Immutable and thread-safe.
 *
 * @param reuse whether an idle connection may be used; false for requests that must not
 * be sent twice
 * @param tag identifier that the server echoes in its response. A connection that carried
 * the same tag before is not reused for it, because a duplicate of the earlier response
 * would be indistinguishable from the new one. Empty if the response contains no
 * identifier
 * @param readTimeoutMillis read timeout: maximum time without a byte of the response, in
 * milliseconds
 * @param totalTimeoutMillis maximum time until the response is complete, in milliseconds,
 * regardless of how many bytes arrive; {@link HttpExchange#setDeadline} replaces it
 * @param reusedHeadTimeoutMillis maximum time to wait for the response head on a reused
 * connection, in milliseconds; such a connection may have failed without notice
 */
public record ExchangeOptions(boolean reuse, String tag, int readTimeoutMillis, long totalTimeoutMillis,
		long reusedHeadTimeoutMillis) {

	/** No time limit. */
	static final long NO_LIMIT_MILLIS = Long.MAX_VALUE;

	public ExchangeOptions {
		Objects.requireNonNull(tag, "tag");
		if (readTimeoutMillis <= 0) {
			throw new IllegalArgumentException("readTimeoutMillis must be positive: " + readTimeoutMillis);
		}
		if (totalTimeoutMillis <= 0) {
			throw new IllegalArgumentException("totalTimeoutMillis must be positive: " + totalTimeoutMillis);
		}
		if (reusedHeadTimeoutMillis <= 0) {
			throw new IllegalArgumentException("reusedHeadTimeoutMillis must be positive: " + reusedHeadTimeoutMillis);
		}
	}

	/**
	 * Creates options with a read timeout only.
	 * @param reuse whether an idle connection may be used
	 * @param readTimeoutMillis read timeout: maximum time without a byte of the response,
	 * in milliseconds
	 * @return the options
	 */
	public static ExchangeOptions of(boolean reuse, int readTimeoutMillis) {
		return new ExchangeOptions(reuse, "", readTimeoutMillis, NO_LIMIT_MILLIS, NO_LIMIT_MILLIS);
	}

	/**
	 * Returns a copy with a tag.
	 * @param tag identifier that the server echoes in its response
	 * @return the options
	 */
	public ExchangeOptions withTag(String tag) {
		return new ExchangeOptions(this.reuse, tag, this.readTimeoutMillis, this.totalTimeoutMillis,
				this.reusedHeadTimeoutMillis);
	}

	/**
	 * Returns a copy with a limit for the complete response.
	 * @param millis maximum time until the response is complete, in milliseconds
	 * @return the options
	 */
	public ExchangeOptions withTotalTimeoutMillis(long millis) {
		return new ExchangeOptions(this.reuse, this.tag, this.readTimeoutMillis, millis, this.reusedHeadTimeoutMillis);
	}

	/**
	 * Returns a copy with a limit for the response head on a reused connection.
	 * @param millis maximum time to wait for the response head, in milliseconds
	 * @return the options
	 */
	public ExchangeOptions withReusedHeadTimeoutMillis(long millis) {
		return new ExchangeOptions(this.reuse, this.tag, this.readTimeoutMillis, this.totalTimeoutMillis, millis);
	}

}
