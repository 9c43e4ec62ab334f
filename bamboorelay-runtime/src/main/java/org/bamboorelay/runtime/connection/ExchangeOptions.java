package org.bamboorelay.runtime.connection;

import java.util.Objects;

/**
 * Options and time limits of an HTTP exchange.
 * <p>
 * Immutable and thread-safe.
 *
 * @param reuse whether an idle connection may be used; false for requests that must not be sent twice
 * @param tag identifier that the server echoes in its response. A connection that carried the same tag before is not reused for it, because a duplicate of the earlier response would be indistinguishable from the new one. Empty if the response contains no identifier
 * @param pauseMillis read timeout: maximum time without a byte of the response, in milliseconds
 * @param wholeMillis maximum time until the response is complete, in milliseconds, regardless of how many bytes arrive; {@link HttpExchange#within} replaces it
 * @param keptMillis maximum time to wait for the response head on a reused connection, in milliseconds; such a connection may have failed without notice
 */
public record ExchangeOptions(boolean reuse, String tag, int pauseMillis, long wholeMillis, long keptMillis) {

	/** No time limit. */
	static final long UNBOUNDED_MILLIS = Long.MAX_VALUE;

	public ExchangeOptions {
		Objects.requireNonNull(tag, "tag");
		if (pauseMillis <= 0) {
			throw new IllegalArgumentException("readTimeoutMillis must be positive: " + pauseMillis);
		}
		if (wholeMillis <= 0) {
			throw new IllegalArgumentException("totalTimeoutMillis must be positive: " + wholeMillis);
		}
		if (keptMillis <= 0) {
			throw new IllegalArgumentException("reusedHeadTimeoutMillis must be positive: " + keptMillis);
		}
	}

	/**
	 * Creates options with a read timeout only.
	 * @param reuse whether an idle connection may be used
	 * @param pauseMillis read timeout: maximum time without a byte of the response, in milliseconds
	 * @return the options
	 */
	public static ExchangeOptions of(boolean reuse, int pauseMillis) {
		return new ExchangeOptions(reuse, "", pauseMillis, UNBOUNDED_MILLIS, UNBOUNDED_MILLIS);
	}

	/**
	 * Returns a copy with a tag.
	 * @param tag identifier that the server echoes in its response
	 * @return the options
	 */
	public ExchangeOptions withTag(String tag) {
		return new ExchangeOptions(this.reuse, tag, this.pauseMillis, this.wholeMillis, this.keptMillis);
	}

	/**
	 * Returns a copy with a limit for the complete response.
	 * @param millis maximum time until the response is complete, in milliseconds
	 * @return the options
	 */
	public ExchangeOptions withWholeMillis(long millis) {
		return new ExchangeOptions(this.reuse, this.tag, this.pauseMillis, millis, this.keptMillis);
	}

	/**
	 * Returns a copy with a limit for the response head on a reused connection.
	 * @param millis maximum time to wait for the response head, in milliseconds
	 * @return the options
	 */
	public ExchangeOptions withKeptMillis(long millis) {
		return new ExchangeOptions(this.reuse, this.tag, this.pauseMillis, this.wholeMillis, millis);
	}

}
