package org.bamboorelay.host.request;

import java.util.Objects;

import org.bamboorelay.host.connection.EndpointResponse;
import org.jspecify.annotations.Nullable;

/**
 * Outcome of a request to a service.
 */
public sealed interface CallResult {

	/**
	 * Combines the results of two attempts. Once an attempt may have been executed, a
	 * refusal of the other one must not be reported as "not executed".
	 * @param earlier the result of the first attempt; null for none
	 * @param later the result of the second attempt
	 * @return the result to report
	 */
	static CallResult mostUncertain(@Nullable CallResult earlier, CallResult later) {
		if (earlier == null || later instanceof Responded) {
			return later;
		}
		return (earlier instanceof NotRun) ? later : earlier;
	}

	/**
	 * An endpoint sent a complete response.
	 *
	 * @param response the head of the response
	 * @param body the body of the response
	 */
	record Responded(EndpointResponse response, byte[] body) implements CallResult {

		public Responded {
			Objects.requireNonNull(response, "response");
			Objects.requireNonNull(body, "body");
		}

	}

	/**
	 * No endpoint executed the request, and none will.
	 *
	 * @param reason a stable reason code
	 * @param retryAfterMillis the delay after which the caller may retry, in milliseconds
	 */
	record NotRun(String reason, long retryAfterMillis) implements CallResult {

		/** Reason code of a request whose endpoints all limit their rate. */
		static final String RATE_LIMITED = "rate-limited";

	}

	/**
	 * The request may have been executed, and there is no complete response.
	 *
	 * @param reason a stable reason code
	 * @param timedOut whether the deadline of the request had passed
	 */
	record Unknown(String reason, boolean timedOut) implements CallResult {
	}

}
