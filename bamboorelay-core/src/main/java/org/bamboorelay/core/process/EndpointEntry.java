package org.bamboorelay.core.process;

import java.util.Map;
import java.util.Objects;

/**
 * What an endpoint says of itself in the platform's directory.
 * <p>
 * Immutable and thread-safe.
 *
 * @param id unique for each start, as a rule
 * @param service the service
 * @param address {@code ip:port}
 * @param domain the failure domain
 * @param slots the requests that it runs at once
 * @param leaving whether it must get no new work
 * @param coldMillis how much longer it stays cold, in milliseconds
 * @param bornMillis when it started, in milliseconds since the epoch; 0 where unknown
 * @param versions the weight version of each model that it holds
 */
public record EndpointEntry(String id, String service, String address, String domain, int slots, boolean leaving,
		long coldMillis, long bornMillis, Map<String, Long> versions) {

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
