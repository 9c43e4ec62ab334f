package org.bamboorelay.core.failure;

import java.util.Locale;

/**
 * Why an attempt is made again. Each reason has its own counter
 * {@code retries_total{reason="..."}}.
 */
public enum RetryReason {

	/** The connection could not be opened, so nothing ran. */
	CONNECT_FAILED,

	/** The endpoint itself refused, so nothing ran. */
	ENDPOINT_REFUSED,

	/** The exchange broke, and the request is idempotent. */
	EXCHANGE_FAILED,

	/** The stream ended before its last event. */
	STREAM_TRUNCATED,

	/** A sample had no label, or one that cannot be true. */
	BAD_LABEL,

	/** A sample takes much longer than its group. */
	STRAGGLER,

	/** A sample would be older than the bound. */
	TOO_OLD,

	/** The owner of an endpoint changed or did not answer. */
	OWNER_CHANGED,

	/** The object API did not answer or refused for load. */
	STORE_UNAVAILABLE,

	/** A conditional update lost against another writer. */
	STORE_CONFLICT;

	/**
	 * Returns the stable code, such as {@code connect-failed}.
	 * @return the code
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
