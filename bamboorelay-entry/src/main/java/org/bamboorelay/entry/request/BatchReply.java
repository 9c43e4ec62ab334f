package org.bamboorelay.entry.request;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboorelay.core.failure.ExecutionState;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.jspecify.annotations.Nullable;

/**
 * Reply to the fetch of a batch, as passed between hosts.
 * <p>
 * Immutable and thread-safe, provided that the JSON tree is not modified.
 *
 * @param status the HTTP status, or {@link #NOT_RUNNING}
 * @param batch the batch; null if there is none
 * @param reason the reason of a refusal; null if the fetch was not refused
 * @param detail a human-readable explanation; null if there is none
 * @param retryAfterMillis the delay before a retry, in milliseconds; 0 for no hint
 */
record BatchReply(int status, @Nullable JsonNode batch, @Nullable RefusalReason reason, @Nullable String detail,
		long retryAfterMillis) {

	/** Status returned by a host that does not run the step. */
	static final int NOT_RUNNING = 0;

	static final int OK = 200;

	static final int ACCEPTED = 202;

	static final int NO_CONTENT = 204;

	/** Delay after which a trainer retries, in milliseconds. */
	static final long RETRY_DELAY_MILLIS = 1_000;

	static BatchReply of(JsonNode batch) {
		return new BatchReply(OK, batch, null, null, 0);
	}

	static BatchReply pending() {
		return new BatchReply(ACCEPTED, null, null, null, RETRY_DELAY_MILLIS);
	}

	static BatchReply complete() {
		return new BatchReply(NO_CONTENT, null, null, null, 0);
	}

	static BatchReply notRunning() {
		return new BatchReply(NOT_RUNNING, null, null, null, 0);
	}

	static BatchReply refused(RefusalReason reason, String detail) {
		long retry = (reason.status() == RefusalReason.STORE_UNAVAILABLE.status()) ? RETRY_DELAY_MILLIS : 0;
		return new BatchReply(reason.status(), null, reason, detail, retry);
	}

	Refusal toRefusal() {
		return new Refusal((this.reason != null) ? this.reason : RefusalReason.NOT_READY, ExecutionState.NO,
				this.retryAfterMillis, (this.detail != null) ? this.detail : "");
	}

}
