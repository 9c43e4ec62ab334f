package org.bamboorelay.control.connection;

import org.bamboorelay.core.failure.Failure;

/**
 * A failed call on the platform or an endpoint.
 */
public sealed interface PlatformFailure extends Failure {

	/**
	 * No usable answer came; an order may have taken effect.
	 *
	 * @param detail a sentence for people
	 */
	record NoAnswer(String detail) implements PlatformFailure {
		@Override
		public String code() {
			return "platform-no-answer";
		}
	}

	/**
	 * The lease was lost before the last byte, so the order had no effect.
	 *
	 * @param detail a sentence for people
	 */
	record LeaseLost(String detail) implements PlatformFailure {
		@Override
		public String code() {
			return "lease-lost";
		}
	}

	/**
	 * The receiver refused.
	 *
	 * @param status the status of its answer
	 * @param detail a sentence for people
	 */
	record Refused(int status, String detail) implements PlatformFailure {
		@Override
		public String code() {
			return "platform-refused";
		}
	}

}
