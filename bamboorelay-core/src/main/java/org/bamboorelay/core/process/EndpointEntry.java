package org.bamboorelay.core.process;

import java.util.Map;
import java.util.Objects;

/**
 * The entry of an endpoint in the platform's directory.
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the id, usually unique for each start of the endpoint
 * @param service the service
 * @param address {@code ip:port}
 * @param domain the failure domain
 * @param slots the number of requests that it runs concurrently
 * @param leaving whether it must not receive new requests
 * @param coldRemainingMillis the remaining time until it is warm, in milliseconds
 * @param startedAtMillis its start time, in milliseconds since the epoch; 0 if unknown
 * @param versions the weight version of each model that it holds
 */
public record EndpointEntry(String id, String service, String address, String domain, int slots, boolean leaving,
		long coldRemainingMillis, long startedAtMillis, Map<String, Long> versions) {

	public EndpointEntry {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(domain, "domain");
		versions = Map.copyOf(versions);
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be positive: " + slots);
		}
	}

}
