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
 * @param work the work of an item; null for other requests
 */
public record EndpointRequirements(RequestOrigin origin, String service, @Nullable String model, long minVersion,
		long affinity, boolean slotsOnly, Set<String> excluded, @Nullable ItemWork work) {

	public EndpointRequirements {
		Objects.requireNonNull(origin, "origin");
		Objects.requireNonNull(service, "service");
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Creates the requirements of a request whose work is not known.
	 * @param origin where the request comes from
	 * @param service the service
	 * @param model the model; null for a plain service
	 * @param minVersion the oldest weight version that may serve the request; 0 for any
	 * @param affinity hash of the part that the request shares with others; 0 for none
	 * @param slotsOnly whether the endpoint must have a free slot
	 * @param excluded the endpoints that must not get the request
	 */
	public EndpointRequirements(RequestOrigin origin, String service, @Nullable String model, long minVersion,
			long affinity, boolean slotsOnly, Set<String> excluded) {
		this(origin, service, model, minVersion, affinity, slotsOnly, excluded, null);
	}

	/**
	 * Returns the same requirements for an item whose work is known.
	 * @param itemWork the work of the item
	 * @return the requirements
	 */
	public EndpointRequirements withWork(ItemWork itemWork) {
		return new EndpointRequirements(this.origin, this.service, this.model, this.minVersion, this.affinity,
				this.slotsOnly, this.excluded, Objects.requireNonNull(itemWork, "itemWork"));
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
