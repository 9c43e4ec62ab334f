package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.ServiceRule;

/**
 * Decides how many endpoints of a service to order in each failure domain. It is designed
 * for submissions, which arrive in bursts: the number follows the peak demand of a time
 * window, rises immediately and falls after a delay.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class EndpointAutoscaler {

	/**
	 * Window over which the peak demand is taken, in milliseconds; bursts arrive every
	 * few seconds.
	 */
	private static final long DEMAND_WINDOW_MILLIS = 12_000;

	/**
	 * Time for which fewer endpoints must suffice before the number is reduced, in
	 * milliseconds.
	 */
	private static final long SCALE_DOWN_DELAY_MILLIS = 30_000;

	/** Minimum time between two orders for one domain, in milliseconds. */
	private static final long MIN_ORDER_INTERVAL_MILLIS = 4_000;

	/** Endpoints in addition to the demand, because some are loading weights. */
	private static final int SPARE_ENDPOINTS = 1;

	private final Clock clock;

	private final Map<String, ServiceState> services = new HashMap<>();

	private EndpointAutoscaler(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Creates an autoscaler without recorded demand.
	 * @param clock the monotonic clock of the process
	 * @return the autoscaler
	 */
	public static EndpointAutoscaler of(Clock clock) {
		return new EndpointAutoscaler(clock);
	}

	/**
	 * Records the current demand and returns the orders to send now.
	 * @param rule the service
	 * @param demand the number of requests that run or wait
	 * @param slots the number of requests that one endpoint runs concurrently
	 * @param endpointsByDomain the number of endpoints that are not leaving, by failure
	 * domain
	 * @param domains the failure domains that may run endpoints
	 * @return an order for each domain whose number of endpoints is to change
	 */
	public synchronized List<Order> nextOrders(ServiceRule rule, int demand, int slots,
			Map<String, Integer> endpointsByDomain, Set<String> domains) {
		if (!rule.isScalable() || domains.isEmpty() || slots < 1) {
			return List.of();
		}
		long now = this.clock.millis();
		ServiceState service = this.services.computeIfAbsent(rule.name(), (serviceName) -> new ServiceState(now));
		service.demands.put(now, demand);
		service.demands.headMap(now - DEMAND_WINDOW_MILLIS).clear();
		int peak = service.demands.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		int desired = (peak + slots - 1) / slots + SPARE_ENDPOINTS;
		int total = endpointsByDomain.values().stream().mapToInt(Integer::intValue).sum();
		if (desired >= total) {
			service.surplusSinceMillis = now;
		}
		else if (now - service.surplusSinceMillis < SCALE_DOWN_DELAY_MILLIS) {
			desired = total;
		}
		List<Order> orders = new ArrayList<>();
		int index = 0;
		for (String domain : domains.stream().sorted().toList()) {
			int share = (desired + domains.size() - 1 - index++) / domains.size();
			int count = Math.min(rule.maxEndpoints(), Math.max(rule.minEndpoints(), share));
			int current = endpointsByDomain.getOrDefault(domain, 0);
			boolean scaleUp = count > current;
			boolean scaleDown = count < current && desired < total;
			Long lastOrderMillis = service.lastOrderMillisByDomain.get(domain);
			if ((scaleUp || scaleDown)
					&& (lastOrderMillis == null || now - lastOrderMillis >= MIN_ORDER_INTERVAL_MILLIS)) {
				service.lastOrderMillisByDomain.put(domain, now);
				orders.add(new Order(rule.name(), domain, count));
			}
		}
		return orders;
	}

	/**
	 * An order for a number of endpoints in a failure domain.
	 *
	 * @param service the service
	 * @param domain the failure domain
	 * @param count the number of endpoints
	 */
	public record Order(String service, String domain, int count) {
	}

	private static final class ServiceState {

		private final TreeMap<Long, Integer> demands = new TreeMap<>();

		private final Map<String, Long> lastOrderMillisByDomain = new HashMap<>();

		private long surplusSinceMillis;

		// A process that takes over the duty has not seen the earlier demand, so the
		// delay before a reduction starts now.
		private ServiceState(long now) {
			this.surplusSinceMillis = now;
		}

	}

}
