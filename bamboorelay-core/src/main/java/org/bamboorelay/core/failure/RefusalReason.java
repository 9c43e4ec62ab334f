package org.bamboorelay.core.failure;

import java.util.Locale;

/**
 * Reason for which a request was refused. Each reason has its own counter
 * {@code refusals_total{reason="..."}}.
 */
public enum RefusalReason {

	/** The request is malformed. */
	BAD_REQUEST(400),

	/** The body is larger than the limit. */
	BODY_TOO_LARGE(413),

	/** The headers are larger than the limit. */
	HEADERS_TOO_LARGE(431),

	/** The request has no API key, and its route is not open. */
	NO_KEY(401),

	/** The API key is unknown. */
	UNKNOWN_KEY(401),

	/** The API key was withdrawn. */
	WITHDRAWN_KEY(401),

	/** The workspace of the API key has no access to the service. */
	FORBIDDEN_SERVICE(403),

	/** The caller's API key appears in a part of the request that is forwarded. */
	KEY_IN_REQUEST(400),

	/** The route or service does not exist. */
	NO_SUCH_ROUTE(404),

	/** The queue of the service is full, or its expected wait exceeds the limit. */
	QUEUE_FULL(429),

	/** The request cannot be served before its deadline. */
	DEADLINE(503),

	/** No endpoint of the service can accept requests at present. */
	NO_ENDPOINT(503),

	/** The node's copy of the configuration is too old to authenticate keys. */
	STALE_VIEW(503),

	/** The node has not received a configuration yet. */
	NOT_READY(503),

	/** The request needs the object API, which is unavailable. */
	STORE_UNAVAILABLE(503),

	/** The idempotency key was used before, and the outcome is unknown. */
	IDEMPOTENCY_KEY_USED(409),

	/** The endpoint failed or its response was incomplete. */
	ENDPOINT_FAILED(502),

	/** The batch was recorded, but no host holds its samples any more. */
	BATCH_LOST(410),

	/** A step or batch conflicts with the recorded state. */
	CONFLICT(409),

	/** The process is shutting down. */
	LEAVING(503);

	private final int status;

	RefusalReason(int status) {
		this.status = status;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the stable code, such as {@code queue-full}.
	 * @return the code
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
