package org.bamboorelay.runtime.connection;

import org.bamboorelay.core.failure.Failure;

/**
 * A failure of a peer link.
 */
public sealed interface PeerFailure extends Failure {

	/**
	 * The peer cannot be reached; nothing was sent.
	 *
	 * @param detail a sentence for people
	 */
	record Unreachable(String detail) implements PeerFailure {
		@Override
		public String code() {
			return "peer-unreachable";
		}
	}

	/**
	 * No answer came in time, or the link broke after the message was sent.
	 *
	 * @param detail a sentence for people
	 */
	record NoAnswer(String detail) implements PeerFailure {
		@Override
		public String code() {
			return "peer-no-answer";
		}
	}

	/**
	 * The peer rejected the message.
	 *
	 * @param reason stable code of the peer's failure
	 * @param detail a sentence for people
	 */
	record Rejected(String reason, String detail) implements PeerFailure {
		@Override
		public String code() {
			return "peer-rejected";
		}
	}

	/**
	 * The peer broke the protocol; the link is closed.
	 *
	 * @param detail a sentence for people
	 */
	record Malformed(String detail) implements PeerFailure {
		@Override
		public String code() {
			return "peer-malformed";
		}
	}

}
