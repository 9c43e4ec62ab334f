package org.bamboorelay.core.failure;

import java.util.Objects;

/**
 * The response to a request that is not served.
 * <p>
 * Immutable and thread-safe.
 *
 * @param reason why the request is refused
 * @param executionState whether the request may have been executed
 * @param retryAfterMillis how long the caller should wait before it retries, in
 * milliseconds; 0 if a retry is not expected to succeed
 * @param detail a human-readable description
 */
public record Refusal(RefusalReason reason, ExecutionState executionState, long retryAfterMillis,
		String detail) implements Failure {

	public Refusal {
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(executionState, "run");
		Objects.requireNonNull(detail, "detail");
		if (retryAfterMillis < 0) {
			throw new IllegalArgumentException("retryAfterMillis must not be negative: " + retryAfterMillis);
		}
	}

	/**
	 * Creates a refusal of a request that was not executed.
	 * @param reason why the request is refused
	 * @param detail a human-readable description
	 * @return the refusal
	 */
	public static Refusal notExecuted(RefusalReason reason, String detail) {
		return new Refusal(reason, ExecutionState.NO, 0, detail);
	}

	/**
	 * Creates a refusal of a request that may have been executed.
	 * @param reason why the request is refused
	 * @param detail a human-readable description
	 * @return the refusal
	 */
	public static Refusal executionUnknown(RefusalReason reason, String detail) {
		return new Refusal(reason, ExecutionState.UNKNOWN, 0, detail);
	}

	@Override
	public String code() {
		return this.reason.code();
	}

	/**
	 * Returns a copy with the given retry delay.
	 * @param millis the delay before a retry, in milliseconds, not negative
	 * @return the copy
	 */
	public Refusal withRetryAfter(long millis) {
		return new Refusal(this.reason, this.executionState, millis, this.detail);
	}

}
