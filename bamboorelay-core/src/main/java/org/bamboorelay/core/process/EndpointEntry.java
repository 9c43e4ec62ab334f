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
 * @param spot whether the platform may reclaim it
 * @param leavesMillis the remaining time until the platform reclaims it, in milliseconds;
 * negative if it is not being reclaimed
 */
public record EndpointEntry(String id, String service, String address, String domain, int slots, boolean leaving,
		long coldRemainingMillis, long startedAtMillis, Map<String, Long> versions, boolean spot, long leavesMillis) {

	/** The remaining time of an endpoint that is not being reclaimed. */
	public static final long NOT_RECLAIMED = -1;

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

	/**
	 * Creates the entry of an on-demand endpoint.
	 * @param id the id
	 * @param service the service
	 * @param address {@code ip:port}
	 * @param domain the failure domain
	 * @param slots the number of requests that it runs concurrently
	 * @param leaving whether it must not receive new requests
	 * @param coldRemainingMillis the remaining time until it is warm, in milliseconds
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @param versions the weight version of each model that it holds
	 */
	public EndpointEntry(String id, String service, String address, String domain, int slots, boolean leaving,
			long coldRemainingMillis, long startedAtMillis, Map<String, Long> versions) {
		this(id, service, address, domain, slots, leaving, coldRemainingMillis, startedAtMillis, versions, false,
				NOT_RECLAIMED);
	}

	/**
	 * Returns whether the platform gave notice that it reclaims the endpoint.
	 * @return whether the remaining time is known
	 */
	public boolean isReclaimed() {
		return this.leavesMillis >= 0;
	}

}
