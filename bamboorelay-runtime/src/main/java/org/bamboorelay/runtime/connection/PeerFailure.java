package org.bamboorelay.runtime.connection;

import org.bamboorelay.core.failure.Failure;

/**
 * A failure of a peer link.
 */
public sealed interface PeerFailure extends Failure {

	/**
	 * The peer is unreachable; nothing was sent.
	 *
	 * @param detail human-readable description
	 */
	record Unreachable(String detail) implements PeerFailure {
		@Override
		public String code() {
			return "peer-unreachable";
		}
	}

	/**
	 * No response was received in time, or the link failed after the message may have
	 * been sent.
	 *
	 * @param detail human-readable description
	 */
	record NoResponse(String detail) implements PeerFailure {
		@Override
		public String code() {
			return "peer-no-answer";
		}
	}

	/**
	 * The peer rejected the message.
	 *
	 * @param reason stable failure code from the peer
	 * @param detail human-readable description
	 */
	record Rejected(String reason, String detail) implements PeerFailure {
		@Override
		public String code() {
			return "peer-rejected";
		}
	}

	/**
	 * The message exceeds the limit of a frame; nothing was sent and the link stays open.
	 *
	 * @param detail human-readable description
	 */
	record TooLarge(String detail) implements PeerFailure {
		@Override
		public String code() {
			return "peer-message-too-large";
		}
	}

	/**
	 * The peer violated the protocol; the link is closed.
	 *
	 * @param detail human-readable description
	 */
	record Malformed(String detail) implements PeerFailure {
		@Override
		public String code() {
			return "peer-malformed";
		}
	}

}
