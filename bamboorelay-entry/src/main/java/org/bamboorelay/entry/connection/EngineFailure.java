package org.bamboorelay.entry.connection;

import org.bamboorelay.core.failure.Failure;

/**
 * Failure of an engine request or stream.
 */
public sealed interface EngineFailure extends Failure {

	/**
	 * The engine could not be reached; nothing was sent.
	 *
	 * @param detail a description for humans
	 */
	record NotSent(String detail) implements EngineFailure {
		@Override
		public String code() {
			return "engine-not-sent";
		}
	}

	/**
	 * The engine rejected the request before it generated anything.
	 *
	 * @param status the HTTP status
	 * @param detail a description for humans
	 */
	record Refused(int status, String detail) implements EngineFailure {
		@Override
		public String code() {
			return "engine-refused";
		}
	}

	/**
	 * The connection failed, or the stream ended before its last event; the engine may
	 * have run the request.
	 *
	 * @param detail a description for humans
	 */
	record Truncated(String detail) implements EngineFailure {
		@Override
		public String code() {
			return "engine-truncated";
		}
	}

	/**
	 * An event belongs to another request or is invalid.
	 *
	 * @param detail a description for humans
	 */
	record InvalidEvent(String detail) implements EngineFailure {
		@Override
		public String code() {
			return "engine-wrong-answer";
		}
	}

}
