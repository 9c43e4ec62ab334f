package org.bamboorelay.core.process;

import java.util.Objects;
import java.util.Set;

import org.bamboorelay.core.request.RequestOrigin;
import org.jspecify.annotations.Nullable;

/**
 * The requirements of a request on the endpoint that serves it.
 * <p>
 * Immutable and thread-safe.
 *
 * @param origin where the request comes from
 * @param service the service
 * @param model the model; null for a plain service
 * @param minVersion the oldest weight version that may serve the request; 0 for any
 * @param affinity hash of the part that the request shares with others; 0 for none
 * @param slotsOnly whether the endpoint must have a free slot; otherwise the request may
 * wait in the endpoint's queue
 * @param excluded the endpoints that must not get the request, such as those to which it
 * was sent before
 */
public record EndpointRequirements(RequestOrigin origin, String service, @Nullable String model, long minVersion,
		long affinity, boolean slotsOnly, Set<String> excluded) {

	public EndpointRequirements {
		Objects.requireNonNull(origin, "origin");
		Objects.requireNonNull(service, "service");
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Returns the requirements of a request to a plain service.
	 * @param origin where the request comes from
	 * @param service the service
	 * @param excluded the endpoints that must not get the request
	 * @return the requirements
	 */
	public static EndpointRequirements plain(RequestOrigin origin, String service, Set<String> excluded) {
		return new EndpointRequirements(origin, service, null, 0, 0, false, excluded);
	}

}
