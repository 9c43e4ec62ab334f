package org.bamboorelay.core.version;

import java.util.Objects;

/**
 * Share of the requests of a route that one service serves.
 * <p>
 * Immutable and thread-safe.
 *
 * @param service the service
 * @param weight the weight, relative to the other shares of the route
 */
public record ServiceShare(String service, int weight) {

	public ServiceShare {
		Objects.requireNonNull(service, "service");
		if (weight < 0) {
			throw new IllegalArgumentException("weight must not be negative: " + weight);
		}
	}

}
