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
 * Decides how many endpoints of a service to order in each failure domain. It answers for
 * the load of submissions, which comes in bursts: the number follows the highest demand
 * of the last while, rises at once and falls slowly.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class EndpointOrders {

	/** How long a burst counts, in milliseconds; bursts come every few seconds. */
	private static final long MEMORY_MILLIS = 12_000;

	/** Time for which a lower number must suffice before it is ordered. */
	private static final long FALL_MILLIS = 30_000;

	/** Least time between two orders for one domain, in milliseconds. */
	private static final long ORDER_MILLIS = 4_000;

	/** Endpoints beyond the demand, for those that load weights. */
	private static final int SPARE_ENDPOINTS = 1;

	private final Clock clock;

	private final Map<String, Service> services = new HashMap<>();

	private EndpointOrders(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Creates the decision.
	 * @param clock the monotonic clock of the process
	 * @return the decision
	 */
	public static EndpointOrders of(Clock clock) {
		return new EndpointOrders(clock);
	}

	/**
	 * Returns the orders to give now.
	 * @param rule the service
	 * @param demand the requests that run or wait
	 * @param slots the requests that one endpoint runs at once
	 * @param present the endpoints that stay, by failure domain
	 * @param domains the failure domains that may get endpoints
	 * @return the number to order in each domain that needs another one
	 */
	public synchronized List<Order> next(ServiceRule rule, int demand, int slots, Map<String, Integer> present,
			Set<String> domains) {
		if (!rule.isScalable() || domains.isEmpty() || slots < 1) {
			return List.of();
		}
		long now = this.clock.millis();
		Service service = this.services.computeIfAbsent(rule.name(), (unused) -> new Service(now));
		service.demands.put(now, demand);
		service.demands.headMap(now - MEMORY_MILLIS).clear();
		int peak = service.demands.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		int wanted = (peak + slots - 1) / slots + SPARE_ENDPOINTS;
		int total = present.values().stream().mapToInt(Integer::intValue).sum();
		if (wanted >= total) {
			service.enoughSince = now;
		}
		else if (now - service.enoughSince < FALL_MILLIS) {
			wanted = total;
		}
		List<Order> orders = new ArrayList<>();
		int index = 0;
		for (String domain : domains.stream().sorted().toList()) {
			int share = (wanted + domains.size() - 1 - index++) / domains.size();
			int count = Math.min(rule.maxEndpoints(), Math.max(rule.minEndpoints(), share));
			int has = present.getOrDefault(domain, 0);
			boolean rises = count > has;
			boolean falls = count < has && wanted < total;
			Long last = service.orderedAt.get(domain);
			if ((rises || falls) && (last == null || now - last >= ORDER_MILLIS)) {
				service.orderedAt.put(domain, now);
				orders.add(new Order(rule.name(), domain, count));
			}
		}
		return orders;
	}

	/**
	 * An order for endpoints.
	 *
	 * @param service the service
	 * @param domain the failure domain
	 * @param count the number of endpoints
	 */
	public record Order(String service, String domain, int count) {
	}

	private static final class Service {

		private final TreeMap<Long, Integer> demands = new TreeMap<>();

		private final Map<String, Long> orderedAt = new HashMap<>();

		private long enoughSince;

		// A process that takes the duty over knows nothing of the demand before.
		private Service(long now) {
			this.enoughSince = now;
		}

	}

}
