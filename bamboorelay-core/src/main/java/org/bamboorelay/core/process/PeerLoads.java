package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ObjIntConsumer;

/**
 * The requests that the peers of a host run at each endpoint, summed over the peers. The
 * sums are updated with each report, so that a choice among endpoints does not add them
 * up again.
 * <p>
 * Not thread-safe; guarded by the lock of {@link EndpointTable}.
 */
final class PeerLoads {

	/**
	 * Maximum age of the load reported by a peer, in milliseconds; older load is ignored.
	 */
	private static final long MAX_AGE_MILLIS = 2_500;

	/** The last report of each peer, oldest first. */
	private final Map<String, Report> reports = new LinkedHashMap<>();

	/** Time from which the oldest report is outdated, in milliseconds. */
	private long nextExpiryMillis = Long.MAX_VALUE;

	private final Map<String, Integer> sums = new HashMap<>();

	private final ObjIntConsumer<String> onChanged;

	/**
	 * Creates an instance without reports.
	 * @param onChanged receives each endpoint whose sum changed, and the sum
	 */
	PeerLoads(ObjIntConsumer<String> onChanged) {
		this.onChanged = onChanged;
	}

	/**
	 * Records the report of a peer, which replaces its last one.
	 * @param host the peer
	 * @param running the number of requests by endpoint
	 * @param nowMillis the time, in milliseconds
	 */
	void put(String host, Map<String, Integer> running, long nowMillis) {
		Report replaced = this.reports.remove(host);
		if (replaced != null) {
			replaced.running().forEach((endpoint, count) -> add(endpoint, -count));
		}
		Report report = new Report(Map.copyOf(running), nowMillis);
		this.reports.put(host, report);
		report.running().forEach(this::add);
		updateNextExpiry();
	}

	/**
	 * Removes outdated reports.
	 * @param nowMillis the time, in milliseconds
	 */
	void expire(long nowMillis) {
		while (nowMillis >= this.nextExpiryMillis) {
			Map.Entry<String, Report> oldest = this.reports.entrySet().iterator().next();
			this.reports.remove(oldest.getKey());
			oldest.getValue().running().forEach((endpoint, count) -> add(endpoint, -count));
			updateNextExpiry();
		}
	}

	/**
	 * Returns the sum of an endpoint.
	 * @param endpoint the endpoint
	 * @return the number of requests that the peers run there
	 */
	int sum(String endpoint) {
		return this.sums.getOrDefault(endpoint, 0);
	}

	private void updateNextExpiry() {
		this.nextExpiryMillis = this.reports.isEmpty() ? Long.MAX_VALUE
				: this.reports.values().iterator().next().atMillis() + MAX_AGE_MILLIS;
	}

	private void add(String endpoint, int count) {
		int sum = this.sums.merge(endpoint, count, Integer::sum);
		if (sum == 0) {
			this.sums.remove(endpoint);
		}
		this.onChanged.accept(endpoint, sum);
	}

	private record Report(Map<String, Integer> running, long atMillis) {
	}

}
