package org.bamboorelay.entry.request;

import org.bamboorelay.core.version.EndpointId;

/**
 * Permission to send one request to one endpoint. Renewed in the background until it is
 * ended.
 * <p>
 * Implementations are thread-safe.
 */
public interface Credit {

	/**
	 * Returns the endpoint.
	 * @return the endpoint
	 */
	EndpointId endpoint();

	/**
	 * Returns the address of the endpoint.
	 * @return {@code ip:port}
	 */
	String address();

	/**
	 * Releases the credit. Further calls have no effect.
	 * @param outcome how the request ended
	 * @param firstByteMillis time to the first byte of the response, in milliseconds; 0
	 * if there was none
	 * @param tokens the tokens served; 1 for a plain response, 0 for none
	 */
	void end(Outcome outcome, long firstByteMillis, long tokens);

	/**
	 * How a request ended, as seen by the entry host.
	 */
	enum Outcome {

		/** The response was complete. */
		OK,

		/** The endpoint failed: no connection, or a truncated or invalid response. */
		FAILED,

		/** The endpoint refused the request because of its load. */
		REFUSED,

		/** The request was not sent, or it was cancelled. */
		UNUSED

	}

}
