package org.bamboorelay.control.connection;

import org.bamboorelay.core.failure.Failure;

/**
 * Failure of a call to the platform or to an endpoint.
 */
public sealed interface PlatformFailure extends Failure {

	/**
	 * No valid response was received; an order may have taken effect.
	 *
	 * @param detail a description for the log
	 */
	record NoResponse(String detail) implements PlatformFailure {
		@Override
		public String code() {
			return "platform-no-answer";
		}
	}

	/**
	 * The lease was lost before the last byte was sent, so the order had no effect.
	 *
	 * @param detail a description for the log
	 */
	record LeaseLost(String detail) implements PlatformFailure {
		@Override
		public String code() {
			return "lease-lost";
		}
	}

	/**
	 * The receiver refused the request.
	 *
	 * @param status the HTTP status code of the response
	 * @param detail a description for the log
	 */
	record Refused(int status, String detail) implements PlatformFailure {
		@Override
		public String code() {
			return "platform-refused";
		}
	}

}
