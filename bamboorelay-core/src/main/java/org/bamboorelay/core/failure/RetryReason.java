package org.bamboorelay.core.failure;

import java.util.Locale;

/**
 * Reason for which an operation is retried. Each reason has its own counter
 * {@code retries_total{reason="..."}}.
 */
public enum RetryReason {

	/** The connection could not be opened, so nothing was executed. */
	CONNECT_FAILED,

	/** The endpoint refused the request, so nothing was executed. */
	ENDPOINT_REFUSED,

	/** The exchange failed part-way, and the request is idempotent. */
	EXCHANGE_FAILED,

	/** The stream ended before its last event. */
	STREAM_TRUNCATED,

	/** A sample had no label, or an impossible one. */
	BAD_LABEL,

	/** A sample takes much longer than the others of its group. */
	STRAGGLER,

	/** A sample would exceed the staleness bound. */
	TOO_OLD,

	/** The owner of an endpoint changed or did not respond. */
	OWNER_CHANGED,

	/** The object API did not respond or rejected the call because of load. */
	STORE_UNAVAILABLE,

	/** A conditional update failed because of a concurrent writer. */
	STORE_CONFLICT;

	/**
	 * Returns the stable code, such as {@code connect-failed}.
	 * @return the code
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
