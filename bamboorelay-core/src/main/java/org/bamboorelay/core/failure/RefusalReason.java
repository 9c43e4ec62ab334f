package org.bamboorelay.core.failure;

import java.util.Locale;

/**
 * Why a request was refused. Each reason has its own counter
 * {@code refusals_total{reason="..."}}.
 */
public enum RefusalReason {

	/** The request is malformed. */
	BAD_REQUEST(400),

	/** The body is larger than the limit. */
	BODY_TOO_LARGE(413),

	/** The headers are larger than the limit. */
	HEADERS_TOO_LARGE(431),

	/** The request has no key, and its route is not open. */
	NO_KEY(401),

	/** The key is not known. */
	UNKNOWN_KEY(401),

	/** The key was withdrawn. */
	WITHDRAWN_KEY(401),

	/** The workspace of the key may not use the service. */
	FORBIDDEN_SERVICE(403),

	/** The caller's key appears in a place that the endpoint would see. */
	KEY_IN_REQUEST(400),

	/** The route or service does not exist. */
	NO_SUCH_ROUTE(404),

	/** The queue of the service is full or its expected wait too long. */
	QUEUE_FULL(429),

	/** The request cannot be served before its deadline. */
	DEADLINE(503),

	/** No endpoint of the service can take work now. */
	NO_ENDPOINT(503),

	/** The node's view of the configuration is too old to trust keys. */
	STALE_VIEW(503),

	/** The node has no configuration yet. */
	NOT_READY(503),

	/** The object API is needed for this request and is not available. */
	STORE_UNAVAILABLE(503),

	/** The idempotency key was used before, and the outcome is not known. */
	IDEMPOTENCY_KEY_USED(409),

	/** The endpoint failed or its answer was not whole. */
	ENDPOINT_FAILED(502),

	/** The batch was recorded, but all holders of its bytes are gone. */
	BATCH_LOST(410),

	/** A step or batch conflicts with what is recorded. */
	CONFLICT(409),

	/** The process is leaving. */
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
