package org.bamboorelay.core.process;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The request rates that endpoints named in their responses. A rate holds until the
 * endpoint names another one, responds without a rate, or starts anew. Responses can
 * overtake each other, so a response without a rate withdraws the rate only if its
 * request was sent after the rate was last named.
 * <p>
 * Not thread-safe.
 */
final class NamedRates {

	/**
	 * Maximum number of rates kept; several times the number of endpoints of a
	 * deployment.
	 */
	private static final int MAX_RATES = 2_048;

	private final Map<String, NamedRate> rates = new LinkedHashMap<>();

	/**
	 * Handles the rate in a response.
	 * @param id the endpoint
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @param requestsPerSecond the rate; infinite if the response names none
	 * @param sentMillis the time at which the request was sent, in milliseconds
	 * @param nowMillis the time, in milliseconds of the same clock
	 * @return whether the rate of the endpoint changed
	 */
	boolean onResponse(String id, long startedAtMillis, double requestsPerSecond, long sentMillis, long nowMillis) {
		NamedRate known = this.rates.get(id);
		if (known != null && known.startedAtMillis() > startedAtMillis) {
			return false;
		}
		boolean sameStart = known != null && known.startedAtMillis() == startedAtMillis;
		if (Double.isInfinite(requestsPerSecond)) {
			if (known == null || (sameStart && sentMillis <= known.namedMillis())) {
				return false;
			}
			this.rates.remove(id);
			return sameStart;
		}
		put(id, new NamedRate(startedAtMillis, requestsPerSecond, nowMillis));
		return !sameStart || known.requestsPerSecond() != requestsPerSecond;
	}

	/**
	 * Handles a rate that an endpoint named to another host.
	 * @param id the endpoint
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @param requestsPerSecond the rate
	 * @param nowMillis the time, in milliseconds
	 * @return whether the rate of the endpoint changed
	 */
	boolean onNamedToPeer(String id, long startedAtMillis, double requestsPerSecond, long nowMillis) {
		return onResponse(id, startedAtMillis, requestsPerSecond, nowMillis, nowMillis);
	}

	/**
	 * Returns the rate of an endpoint.
	 * @param id the endpoint
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @return the requests per second that it takes from all hosts together; infinite if
	 * it names no rate
	 */
	double rate(String id, long startedAtMillis) {
		// Usually there is none; then the id is not read.
		NamedRate known = this.rates.isEmpty() ? null : this.rates.get(id);
		return (known != null && known.startedAtMillis() == startedAtMillis) ? known.requestsPerSecond()
				: Double.POSITIVE_INFINITY;
	}

	private void put(String id, NamedRate rate) {
		this.rates.remove(id);
		this.rates.put(id, rate);
		if (this.rates.size() > MAX_RATES) {
			this.rates.remove(this.rates.keySet().iterator().next());
		}
	}

	private record NamedRate(long startedAtMillis, double requestsPerSecond, long namedMillis) {
	}

}
