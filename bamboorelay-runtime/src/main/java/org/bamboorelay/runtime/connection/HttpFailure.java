package org.bamboorelay.runtime.connection;

import org.bamboorelay.core.failure.Failure;

/**
 * A failed HTTP exchange, by what the other side can have seen.
 */
public sealed interface HttpFailure extends Failure {

	/**
	 * No byte of the request was sent, so it cannot have run.
	 *
	 * @param detail a sentence for people
	 */
	record NotSent(String detail) implements HttpFailure {
		@Override
		public String code() {
			return "not-sent";
		}
	}

	/**
	 * At least one byte may have been sent, so the request may have run.
	 *
	 * @param detail a sentence for people
	 */
	record Broken(String detail) implements HttpFailure {
		@Override
		public String code() {
			return "exchange-broken";
		}
	}

	/**
	 * The answer is larger than the limit.
	 *
	 * @param detail a sentence for people
	 */
	record AnswerTooLarge(String detail) implements HttpFailure {
		@Override
		public String code() {
			return "answer-too-large";
		}
	}

}
