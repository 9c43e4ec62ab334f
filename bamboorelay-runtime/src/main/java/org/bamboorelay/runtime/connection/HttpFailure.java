package org.bamboorelay.runtime.connection;

import org.bamboorelay.core.failure.Failure;

/**
 * A failed HTTP exchange, classified by whether the server may have received the request.
 */
public sealed interface HttpFailure extends Failure {

	/**
	 * No byte of the request was sent, so it was not executed.
	 *
	 * @param detail human-readable description
	 */
	record NotSent(String detail) implements HttpFailure {
		@Override
		public String code() {
			return "not-sent";
		}
	}

	/**
	 * At least one byte may have been sent, so the request may have been executed.
	 *
	 * @param detail human-readable description
	 * @param connectionEnded whether the server closed or reset the connection before the
	 * response was complete, as it does when its process ends
	 */
	record Broken(String detail, boolean connectionEnded) implements HttpFailure {

		/**
		 * Creates a failure of a connection that the server did not end.
		 * @param detail human-readable description
		 */
		public Broken(String detail) {
			this(detail, false);
		}

		@Override
		public String code() {
			return "exchange-broken";
		}
	}

	/**
	 * The server sent the response to another request, such as a late second copy of an
	 * earlier one. The request may have been executed; its own response is not read.
	 *
	 * @param detail human-readable description
	 */
	record Mismatched(String detail) implements HttpFailure {
		@Override
		public String code() {
			return "response-mismatched";
		}
	}

	/**
	 * The response exceeds the size limit.
	 *
	 * @param detail human-readable description
	 */
	record ResponseTooLarge(String detail) implements HttpFailure {
		@Override
		public String code() {
			return "answer-too-large";
		}
	}

}
