package org.bamboorelay.core.failure;

import java.util.Objects;

/**
 * The answer to a request that is not served.
 * <p>
 * Immutable and thread-safe.
 *
 * @param reason why
 * @param run whether the request may have run
 * @param retryAfterMillis when to come back, in milliseconds; 0 where waiting does not
 * help
 * @param detail a sentence for people
 */
public record Refusal(RefusalReason reason, RunState run, long retryAfterMillis, String detail) implements Failure {

	public Refusal {
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(run, "run");
		Objects.requireNonNull(detail, "detail");
		if (retryAfterMillis < 0) {
			throw new IllegalArgumentException("retryAfterMillis must not be negative: " + retryAfterMillis);
		}
	}

	/**
	 * Creates a refusal of a request that did not run.
	 * @param reason why
	 * @param detail a sentence for people
	 * @return the refusal
	 */
	public static Refusal notRun(RefusalReason reason, String detail) {
		return new Refusal(reason, RunState.NO, 0, detail);
	}

	/**
	 * Creates a refusal of a request that may have run.
	 * @param reason why
	 * @param detail a sentence for people
	 * @return the refusal
	 */
	public static Refusal runUnknown(RefusalReason reason, String detail) {
		return new Refusal(reason, RunState.UNKNOWN, 0, detail);
	}

	@Override
	public String code() {
		return this.reason.code();
	}

	/**
	 * Returns a copy that tells the caller when to come back.
	 * @param millis the wait in milliseconds, not negative
	 * @return the copy
	 */
	public Refusal withRetryAfter(long millis) {
		return new Refusal(this.reason, this.run, millis, this.detail);
	}

}
