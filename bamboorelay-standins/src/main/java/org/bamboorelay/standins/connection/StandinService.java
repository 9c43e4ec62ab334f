package org.bamboorelay.standins.connection;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Request handler of one kind of stand-in. {@link StandinServer} applies the faults
 * common to all kinds and records the requests.
 * <p>
 * Implementations are thread-safe.
 */
@FunctionalInterface
public interface StandinService {

	/**
	 * Handles a request.
	 * @param request the request
	 * @return the response
	 */
	StandinResponse serve(StandinRequest request);

	/**
	 * Returns the name of the counter for the request.
	 * @param request the request
	 * @return the name
	 */
	default String counterName(StandinRequest request) {
		return request.method();
	}

	/**
	 * Tells whether the request is recorded with its body instead of the digest of the
	 * body.
	 * @param request the request
	 * @return whether the body is recorded
	 */
	default boolean recordsBody(StandinRequest request) {
		return false;
	}

	/**
	 * Called when a fault is activated, changed or deactivated, for faults that take
	 * effect immediately.
	 * @param name the name
	 * @param value the value, a null node if the fault is deactivated
	 */
	default void onFault(String name, JsonNode value) {
	}

}
