package org.bamboorelay.core.request;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Settings of the operator for hedged requests.
 * <p>
 * Immutable and thread-safe.
 *
 * @param budget copies that may be sent, as a share of the requests; 0 for none
 * @param quantile quantile of the response times of a route after which a copy is sent;
 * null for the default
 * @param minDelayMillis lower bound of the delay of a copy, in milliseconds; null for the
 * default
 * @param routes names of the routes whose requests may be hedged; empty for all
 */
public record HedgingSettings(double budget, @Nullable Double quantile, @Nullable Long minDelayMillis,
		List<String> routes) {

	private static final double DEFAULT_QUANTILE = 0.95;

	/** Highest quantile; it needs 1,000 samples in the window. */
	private static final double MAX_QUANTILE = 0.999;

	/** Response times are recorded in milliseconds, so shorter ones are inexact. */
	private static final long DEFAULT_MIN_DELAY_MILLIS = 10;

	private static final long MAX_MIN_DELAY_MILLIS = 60_000;

	public HedgingSettings {
		if (!(budget >= 0 && budget <= 1)) {
			throw new IllegalArgumentException("hedging.budget must be at least 0 and at most 1: " + budget);
		}
		if (quantile == null) {
			quantile = DEFAULT_QUANTILE;
		}
		if (!(quantile >= 0.5 && quantile <= MAX_QUANTILE)) {
			throw new IllegalArgumentException(
					"hedging.quantile must be at least 0.5 and at most " + MAX_QUANTILE + ": " + quantile);
		}
		if (minDelayMillis == null) {
			minDelayMillis = DEFAULT_MIN_DELAY_MILLIS;
		}
		if (minDelayMillis < 1 || minDelayMillis > MAX_MIN_DELAY_MILLIS) {
			throw new IllegalArgumentException("hedging.min_delay must be at least 1 ms and at most "
					+ MAX_MIN_DELAY_MILLIS + " ms: " + minDelayMillis);
		}
		routes = List.copyOf(routes);
	}

	/**
	 * Returns whether requests of a route may be hedged.
	 * @param route the name of the route
	 * @return whether the budget is not 0 and the route is named, or none is
	 */
	public boolean covers(String route) {
		return this.budget > 0 && (this.routes.isEmpty() || this.routes.contains(route));
	}

}
