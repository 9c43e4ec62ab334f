package org.bamboorelay.standins.connection;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What one kind of stand-in does with a request. The server around it handles faults that
 * all kinds share, and the record.
 * <p>
 * Implementations are thread-safe.
 */
@FunctionalInterface
public interface StandinService {

	/**
	 * Serves a request.
	 * @param request the request
	 * @return the answer
	 */
	StandinReply serve(StandinRequest request);

	/**
	 * Returns the name that the request is counted under.
	 * @param request the request
	 * @return the name
	 */
	default String countName(StandinRequest request) {
		return request.method();
	}

	/**
	 * Tells whether the record shows the body instead of its digest.
	 * @param request the request
	 * @return whether it does
	 */
	default boolean showsBody(StandinRequest request) {
		return false;
	}

	/**
	 * Told of each fault that is switched on, for faults that act at once.
	 * @param name the name
	 * @param value the value
	 */
	default void onFault(String name, JsonNode value) {
	}

}
