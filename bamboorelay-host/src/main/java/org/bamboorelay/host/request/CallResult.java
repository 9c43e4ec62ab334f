package org.bamboorelay.host.request;

import java.util.Objects;

import org.bamboorelay.host.connection.EndpointAnswer;

/**
 * How a request to endpoints ended.
 */
public sealed interface CallResult {

	/**
	 * An endpoint answered whole.
	 *
	 * @param answer the head of the answer
	 * @param body its body
	 */
	record Answered(EndpointAnswer answer, byte[] body) implements CallResult {

		public Answered {
			Objects.requireNonNull(answer, "answer");
			Objects.requireNonNull(body, "body");
		}

	}

	/**
	 * No endpoint ran the request, and none will.
	 *
	 * @param reason a stable code
	 * @param retryAfterMillis when to come back, in milliseconds
	 */
	record NotRun(String reason, long retryAfterMillis) implements CallResult {
	}

	/**
	 * The request may have run, and there is no whole answer.
	 *
	 * @param reason a stable code
	 * @param timedOut whether the time was up
	 */
	record Unknown(String reason, boolean timedOut) implements CallResult {
	}

}
