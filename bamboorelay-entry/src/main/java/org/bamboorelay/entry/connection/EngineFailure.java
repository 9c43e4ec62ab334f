package org.bamboorelay.entry.connection;

import org.bamboorelay.core.failure.Failure;

/**
 * How a stream of an engine failed.
 */
public sealed interface EngineFailure extends Failure {

	/**
	 * The engine could not be reached; nothing was sent.
	 *
	 * @param detail a sentence for people
	 */
	record NotSent(String detail) implements EngineFailure {
		@Override
		public String code() {
			return "engine-not-sent";
		}
	}

	/**
	 * The engine refused before it generated anything.
	 *
	 * @param status the HTTP status
	 * @param detail a sentence for people
	 */
	record Refused(int status, String detail) implements EngineFailure {
		@Override
		public String code() {
			return "engine-refused";
		}
	}

	/**
	 * The stream broke or ended without its last event.
	 *
	 * @param detail a sentence for people
	 */
	record Truncated(String detail) implements EngineFailure {
		@Override
		public String code() {
			return "engine-truncated";
		}
	}

	/**
	 * An event belongs to another request or is not valid.
	 *
	 * @param detail a sentence for people
	 */
	record WrongAnswer(String detail) implements EngineFailure {
		@Override
		public String code() {
			return "engine-wrong-answer";
		}
	}

}
