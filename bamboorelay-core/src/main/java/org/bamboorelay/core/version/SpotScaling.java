package org.bamboorelay.core.version;

import java.util.Map;

/**
 * Times and prices of the endpoints of a service whose endpoints can be ordered as spot
 * endpoints, which cost less and may be reclaimed.
 * <p>
 * Immutable and thread-safe.
 *
 * @param bootMillis the time from an order until the endpoint serves, in milliseconds
 * @param spotPrice the price of a spot endpoint relative to that of an on-demand endpoint
 * in the same failure domain
 * @param domainPrices the price of a second of an on-demand endpoint, by failure domain
 */
public record SpotScaling(long bootMillis, double spotPrice, Map<String, Double> domainPrices) {

	public SpotScaling {
		if (bootMillis < 0) {
			throw new IllegalArgumentException("bootMillis must not be negative: " + bootMillis);
		}
		checkPrice("spotPrice", spotPrice);
		domainPrices = Map.copyOf(domainPrices);
		domainPrices.forEach((domain, price) -> checkPrice("price of domain " + domain, price));
	}

	/**
	 * Returns the price of a second of an endpoint.
	 * @param domain the failure domain; a domain without a price costs 1
	 * @param spot whether the endpoint is a spot endpoint
	 * @return the price
	 */
	public double price(String domain, boolean spot) {
		return this.domainPrices.getOrDefault(domain, 1.0) * (spot ? this.spotPrice : 1.0);
	}

	private static void checkPrice(String name, double price) {
		if (!(price > 0) || Double.isInfinite(price)) {
			throw new IllegalArgumentException(name + " must be positive and finite: " + price);
		}
	}

}
