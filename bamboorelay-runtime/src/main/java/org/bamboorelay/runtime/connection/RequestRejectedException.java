package org.bamboorelay.runtime.connection;

import org.apache.hc.core5.http.HttpException;

/**
 * A request that violates a limit of the listener before it reaches the handler. It is
 * answered with a status and one line, and its connection is closed.
 */
final class RequestRejectedException extends HttpException {

	private static final long serialVersionUID = 1L;

	private final int status;

	private final long retryAfterMillis;

	RequestRejectedException(int status, String detail) {
		this(status, detail, -1);
	}

	// A retry delay below 0 stands for none.
	RequestRejectedException(int status, String detail, long retryAfterMillis) {
		super(detail);
		this.status = status;
		this.retryAfterMillis = retryAfterMillis;
	}

	int status() {
		return this.status;
	}

	long retryAfterMillis() {
		return this.retryAfterMillis;
	}

}
