package org.bamboorelay.runtime.connection;

import java.util.Objects;

/**
 * What an exchange with another process may take.
 * <p>
 * Immutable and thread-safe.
 *
 * @param reuse whether an idle connection may be used; false for requests that must not
 * be sent twice
 * @param tag what the other side echoes in its answer, so that a second copy of it can be
 * told apart; a connection that carried the same tag before is not used again for it.
 * Empty where the answer bears no such mark
 * @param pauseMillis the longest pause between two bytes of the answer, in milliseconds
 * @param wholeMillis the longest time until the answer is whole, in milliseconds, however
 * many bytes come meanwhile; {@link HttpExchange#within} sets it anew
 * @param keptMillis the longest wait for the head on a connection that was kept from an
 * earlier exchange, in milliseconds: it may have gone silent without a sign
 */
public record ExchangeOptions(boolean reuse, String tag, int pauseMillis, long wholeMillis, long keptMillis) {

	/** No bound on the whole answer. */
	static final long UNBOUNDED_MILLIS = Long.MAX_VALUE;

	public ExchangeOptions {
		Objects.requireNonNull(tag, "tag");
		if (pauseMillis <= 0) {
			throw new IllegalArgumentException("pauseMillis must be positive: " + pauseMillis);
		}
		if (wholeMillis <= 0) {
			throw new IllegalArgumentException("wholeMillis must be positive: " + wholeMillis);
		}
		if (keptMillis <= 0) {
			throw new IllegalArgumentException("keptMillis must be positive: " + keptMillis);
		}
	}

	/**
	 * Creates options that bound the pauses of an answer only.
	 * @param reuse whether an idle connection may be used
	 * @param pauseMillis the longest pause between two bytes, in milliseconds
	 * @return the options
	 */
	public static ExchangeOptions of(boolean reuse, int pauseMillis) {
		return new ExchangeOptions(reuse, "", pauseMillis, UNBOUNDED_MILLIS, UNBOUNDED_MILLIS);
	}

	/**
	 * Returns these options with a tag.
	 * @param tag what the other side echoes
	 * @return the options
	 */
	public ExchangeOptions withTag(String tag) {
		return new ExchangeOptions(this.reuse, tag, this.pauseMillis, this.wholeMillis, this.keptMillis);
	}

	/**
	 * Returns these options with a bound on the whole answer.
	 * @param millis the longest time until the answer is whole, in milliseconds
	 * @return the options
	 */
	public ExchangeOptions withWholeMillis(long millis) {
		return new ExchangeOptions(this.reuse, this.tag, this.pauseMillis, millis, this.keptMillis);
	}

	/**
	 * Returns these options with a bound on the head where a kept connection is used.
	 * @param millis the longest wait for the head, in milliseconds
	 * @return the options
	 */
	public ExchangeOptions withKeptMillis(long millis) {
		return new ExchangeOptions(this.reuse, this.tag, this.pauseMillis, this.wholeMillis, millis);
	}

}
