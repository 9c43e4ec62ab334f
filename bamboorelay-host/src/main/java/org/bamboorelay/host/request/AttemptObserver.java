package org.bamboorelay.host.request;

/**
 * Observes an attempt to get the response to a request from an endpoint.
 */
@FunctionalInterface
interface AttemptObserver {

	/**
	 * Called before a connection to the endpoint is opened.
	 * @param abort ends the attempt to connect; must not be run after
	 * {@link #onConnected}
	 */
	default void onConnecting(Runnable abort) {
	}

	/**
	 * Called when there is a connection to the endpoint, before the request is sent.
	 * @param abort closes the connection at once; must not be run after
	 * {@link #onResponseRead}
	 */
	void onConnected(Runnable abort);

	/**
	 * Called when the response was read, or cannot be read, before the connection may be
	 * reused.
	 */
	default void onResponseRead() {
	}

	/**
	 * Returns whether this host cancelled the attempt.
	 * @return whether its failure tells nothing about the endpoint
	 */
	default boolean isCancelled() {
		return false;
	}

}
