package org.bamboorelay.entry.request;

import org.bamboorelay.core.version.EndpointId;

/**
 * Allows one request to one endpoint. Renewed in the background until it is ended.
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
	 * Returns where the endpoint listens.
	 * @return {@code ip:port}
	 */
	String address();

	/**
	 * Gives the credit back. Further calls have no effect.
	 * @param outcome how the request ended
	 * @param firstByteMillis time to the first byte of the answer, in milliseconds; 0
	 * where there was none
	 * @param tokens tokens served; 1 for a plain answer, 0 for none
	 */
	void end(Outcome outcome, long firstByteMillis, long tokens);

	/**
	 * How a request ended, as seen by the entry host.
	 */
	enum Outcome {

		/** The answer was whole. */
		OK,

		/** The endpoint failed: no connection, a broken or wrong answer. */
		FAILED,

		/** The endpoint refused for load. */
		REFUSED,

		/** The request was not sent, or the caller gave up. */
		UNUSED

	}

}
