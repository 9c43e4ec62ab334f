package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.ServiceRule;
import org.bamboorelay.core.version.SpotScaling;
import org.jspecify.annotations.Nullable;

/**
 * Decides how many on-demand and spot endpoints of a service to order in each failure
 * domain. The number follows the work that is due in the coming seconds. Spot endpoints
 * are divided among the domains so that the loss of those of one domain leaves enough
 * endpoints for the work that is due before replacements serve.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class SpotCapacityPlanner {

	/**
	 * Window over which the peak of the required number is taken, in milliseconds; bursts
	 * arrive every few seconds.
	 */
	private static final long PEAK_WINDOW_MILLIS = 12_000;

	/**
	 * Time for which fewer endpoints must suffice before the number is reduced, in
	 * milliseconds.
	 */
	private static final long SCALE_DOWN_DELAY_MILLIS = 30_000;

	/**
	 * Minimum time between two orders for one kind and domain, in milliseconds, unless
	 * endpoints were lost.
	 */
	private static final long MIN_ORDER_INTERVAL_MILLIS = 4_000;

	/**
	 * Time between two decisions from which what is known counts as outdated, in
	 * milliseconds: another process held the duty in between.
	 */
	private static final long MAX_DECISION_GAP_MILLIS = 5_000;

	/** Time for which a loss permits orders at once, in milliseconds. */
	private static final long LOSS_MILLIS = 2_000;

	/** First backoff after an order found no endpoints, in milliseconds; doubles. */
	private static final long BACKOFF_BASE_MILLIS = 2_000;

	private static final long BACKOFF_CAP_MILLIS = 16_000;

	/**
	 * Backoff for the spot endpoints of a domain that lost some, in milliseconds. The
	 * platform has none there for 8 to 11 s; an order before costs only a refusal.
	 */
	private static final long RECLAIM_BACKOFF_MILLIS = 4_000;

	/**
	 * Time in which a new endpoint loads weights after it serves, in milliseconds; an
	 * engine pauses for about a second.
	 */
	private static final long WEIGHT_LOAD_MILLIS = 1_000;

	/**
	 * Time beyond its boot until an ordered endpoint counts as missing, in milliseconds.
	 */
	private static final long BOOT_TOLERANCE_MILLIS = 3_000;

	/**
	 * Time between the end of an item's run and its listed result, in milliseconds: the
	 * score call and the write of a page.
	 */
	private static final long RESULT_MARGIN_MILLIS = 500;

	/**
	 * Share of the time in which a slot does useful work. The rest is lost while engines
	 * load weights and while a group ends.
	 */
	private static final double UTILIZATION = 0.8;

	/**
	 * Share of the urgent work that on-demand endpoints take, because the spot endpoints
	 * of a second domain may be lost before replacements of the first serve.
	 */
	private static final double BASE_SHARE = 1.0 / 3;

	/**
	 * Minimum share of the required endpoints that counts as required for urgent work,
	 * because work of a burst becomes urgent only seconds after its endpoints are
	 * ordered.
	 */
	private static final double MIN_URGENT_SHARE = 0.5;

	/** Share of an even division among the domains that each domain gets. */
	private static final double MIN_DOMAIN_SHARE = 1.0 / 3;

	/** Share of the total work from which an increase counts as newly arrived work. */
	private static final double MIN_ARRIVAL_SHARE = 0.1;

	/** Endpoints that a reduction leaves in addition to the required ones. */
	private static final int SPARE_ENDPOINTS = 1;

	private final Clock clock;

	private final Map<String, ServiceState> services = new HashMap<>();

	private SpotCapacityPlanner(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Creates a planner that knows of no earlier orders.
	 * @param clock the monotonic clock of the process
	 * @return the planner
	 */
	public static SpotCapacityPlanner of(Clock clock) {
		return new SpotCapacityPlanner(clock);
	}

	/**
	 * Records the current work and returns the orders to send now. The result of each
	 * order has to be reported with {@link #onResult}.
	 * @param rule the service, which has a spot price
	 * @param work the work of all hosts
	 * @param slots the number of requests that one endpoint runs concurrently; 0 if the
	 * service has no endpoint
	 * @param counts the endpoints by failure domain
	 * @param domains the failure domains that may run endpoints
	 * @return an order for each kind and domain whose number of endpoints is to change
	 */
	public synchronized List<Order> nextOrders(ServiceRule rule, DueWork work, int slots,
			Map<String, EndpointCounts> counts, Set<String> domains) {
		SpotScaling scaling = rule.spotScaling();
		if (scaling == null || !rule.isScalable() || domains.isEmpty()) {
			return List.of();
		}
		long now = this.clock.millis();
		ServiceState service = this.services.compute(rule.name(),
				(serviceName, known) -> (known != null && now - known.lastDecisionMillis <= MAX_DECISION_GAP_MILLIS)
						? known : new ServiceState(now));
		service.lastDecisionMillis = now;
		service.slots = (slots > 0) ? slots : service.slots;
		if (service.slots < 1) {
			return List.of();
		}
		long leadMillis = scaling.bootMillis() + WEIGHT_LOAD_MILLIS;
		List<Pool> pools = new ArrayList<>();
		for (String domain : new TreeSet<>(domains)) {
			pools.add(new Pool(domain, false));
			pools.add(new Pool(domain, true));
		}
		for (Pool pool : pools) {
			int current = counts.getOrDefault(pool.domain(), EndpointCounts.NONE).count(pool.spot());
			service.observe(pool, current, leadMillis + BOOT_TOLERANCE_MILLIS, now);
		}
		double perEndpoint = service.slots * UTILIZATION;
		double steady = work.requiredSlots(Long.MAX_VALUE, leadMillis, RESULT_MARGIN_MILLIS) / perEndpoint;
		double missing = work.missingSlots(
				(millis) -> perEndpoint * service.endpointMillis(pools, millis, leadMillis, now), leadMillis,
				RESULT_MARGIN_MILLIS) / perEndpoint;
		int expected = pools.stream().mapToInt((pool) -> service.pool(pool).expected()).sum();
		service.required.put(now, (int) Math.ceil((missing > 0) ? Math.max(steady, expected + missing) : steady));
		service.urgent.put(now,
				(int) Math.ceil(work.requiredSlots(leadMillis, leadMillis, RESULT_MARGIN_MILLIS) / perEndpoint));
		long bound = (long) domains.size() * rule.maxEndpoints();
		int required = (int) Math.min(bound, peak(service.required, now, PEAK_WINDOW_MILLIS));
		int urgent = (int) Math.min(bound, peak(service.urgent, now, PEAK_WINDOW_MILLIS));
		Plan plan = new Plan(rule, scaling, service, pools, required, urgent, now);
		plan.fill();
		int kept = SPARE_ENDPOINTS
				+ Math.max(required, (int) Math.ceil(service.arrivalRate(work.totalMillis(), now) / perEndpoint));
		service.kept.put(now, kept);
		if (now - service.sinceMillis >= SCALE_DOWN_DELAY_MILLIS) {
			plan.reduce(counts, peak(service.kept, now, SCALE_DOWN_DELAY_MILLIS));
		}
		return service.due(rule.name(), plan.planned, now);
	}

	/**
	 * Handles the result of an order.
	 * @param order the order
	 * @param result the result
	 * @return whether the availability of the kind of endpoints in the domain changed
	 */
	public synchronized boolean onResult(Order order, Result result) {
		ServiceState service = this.services.get(order.service());
		if (service == null) {
			return false;
		}
		long now = this.clock.millis();
		PoolState pool = service.pool(new Pool(order.domain(), order.spot()));
		if (result == Result.ACCEPTED) {
			pool.ordered = order.count();
			pool.orderedAtMillis = now;
			boolean changed = pool.refusals > 0;
			pool.refusals = 0;
			return changed;
		}
		if (result == Result.NONE_AVAILABLE) {
			long backoffMillis = Math.min(BACKOFF_CAP_MILLIS, BACKOFF_BASE_MILLIS << Math.min(pool.refusals, 4));
			pool.blockedUntilMillis = Math.max(pool.blockedUntilMillis, now + backoffMillis);
			pool.refusals++;
			return pool.refusals == 1;
		}
		return false;
	}

	private static int peak(TreeMap<Long, Integer> values, long now, long windowMillis) {
		values.headMap(now - windowMillis).clear();
		return values.values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

	/**
	 * An order for a number of endpoints of one kind in a failure domain.
	 *
	 * @param service the service
	 * @param domain the failure domain
	 * @param spot whether the endpoints are spot endpoints
	 * @param count the number of endpoints of that kind
	 */
	public record Order(String service, String domain, boolean spot, int count) {
	}

	/**
	 * The result of an order.
	 */
	public enum Result {

		/** The platform accepted the order. */
		ACCEPTED,

		/** The platform has no such endpoints in that domain now. */
		NONE_AVAILABLE,

		/** The order failed for another reason, or its result is unknown. */
		FAILED

	}

	private record Pool(String domain, boolean spot) {
	}

	private static final class PoolState {

		private int current;

		// The ordered number, until the endpoints have had the time to start; -1 if no
		// order is open.
		private int ordered = -1;

		private long orderedAtMillis;

		private @Nullable Long lastOrderMillis;

		private long blockedUntilMillis = Long.MIN_VALUE;

		private int refusals;

		private int expected() {
			return (this.ordered >= 0) ? this.ordered : this.current;
		}

	}

	private static final class ServiceState {

		// Increases of the total work, by time.
		private final TreeMap<Long, Long> arrivals = new TreeMap<>();

		private long workMillis;

		private final TreeMap<Long, Integer> required = new TreeMap<>();

		private final TreeMap<Long, Integer> urgent = new TreeMap<>();

		private final Map<Pool, PoolState> pools = new HashMap<>();

		private int slots;

		private long lostAtMillis = Long.MIN_VALUE / 2;

		// The numbers that would have sufficed, by time.
		private final TreeMap<Long, Integer> kept = new TreeMap<>();

		private final long sinceMillis;

		private long lastDecisionMillis;

		// A process that takes over the duty has not seen the earlier work, so the delay
		// before a reduction starts now.
		private ServiceState(long now) {
			this.sinceMillis = now;
		}

		private PoolState pool(Pool pool) {
			return this.pools.computeIfAbsent(pool, (key) -> new PoolState());
		}

		// Fewer endpoints than before, and fewer than ordered, are a loss.
		private void observe(Pool key, int current, long startMillis, long now) {
			PoolState pool = pool(key);
			int lost = Math.min(pool.current, pool.expected()) - current;
			if (lost > 0) {
				this.lostAtMillis = now;
				pool.ordered = (pool.ordered >= 0) ? Math.max(current, pool.ordered - lost) : -1;
				if (key.spot()) {
					pool.blockedUntilMillis = Math.max(pool.blockedUntilMillis, now + RECLAIM_BACKOFF_MILLIS);
				}
			}
			pool.current = current;
			if (pool.ordered == current || now - pool.orderedAtMillis >= startMillis) {
				pool.ordered = -1;
			}
		}

		// Returns the work that arrives in a millisecond. Small increases are changes of
		// the estimate.
		private double arrivalRate(long totalMillis, long now) {
			long increase = totalMillis - this.workMillis;
			if (increase > totalMillis * MIN_ARRIVAL_SHARE) {
				this.arrivals.put(now, increase);
			}
			this.workMillis = totalMillis;
			this.arrivals.headMap(now - PEAK_WINDOW_MILLIS, true).clear();
			return (double) this.arrivals.values().stream().mapToLong(Long::longValue).sum() / PEAK_WINDOW_MILLIS;
		}

		// Returns how long all endpoints together serve within a time, including those
		// that are starting.
		private double endpointMillis(Collection<Pool> keys, long millis, long leadMillis, long now) {
			double sum = 0;
			for (Pool key : keys) {
				PoolState pool = pool(key);
				int serving = Math.min(pool.current, pool.expected());
				long startsInMillis = Math.max(0, pool.orderedAtMillis + leadMillis - now);
				sum += (double) serving * millis
						+ (double) (pool.expected() - serving) * Math.max(0, millis - startsInMillis);
			}
			return sum;
		}

		private List<Order> due(String service, Map<Pool, Integer> planned, long now) {
			List<Order> orders = new ArrayList<>();
			planned.forEach((key, count) -> {
				PoolState pool = pool(key);
				Long last = pool.lastOrderMillis;
				if (count != pool.expected() && (last == null || now - last >= MIN_ORDER_INTERVAL_MILLIS
						|| (count > pool.expected() && now - this.lostAtMillis < LOSS_MILLIS))) {
					pool.lastOrderMillis = now;
					orders.add(new Order(service, key.domain(), key.spot(), count));
				}
			});
			return orders;
		}

	}

	// The numbers of endpoints as ordered so far, which are changed one by one until they
	// meet the requirements.
	private static final class Plan {

		private final ServiceRule rule;

		private final SpotScaling scaling;

		private final ServiceState service;

		private final Map<Pool, Integer> planned = new TreeMap<>(
				Comparator.comparing(Pool::domain).thenComparing(Pool::spot));

		private final int required;

		private final int urgent;

		private final int base;

		private final long now;

		private final int minPerDomain;

		private Plan(ServiceRule rule, SpotScaling scaling, ServiceState service, Collection<Pool> pools, int required,
				int urgent, long now) {
			this.rule = rule;
			this.scaling = scaling;
			this.service = service;
			this.required = required;
			this.urgent = Math.max(urgent, (int) Math.ceil(required * MIN_URGENT_SHARE));
			this.base = (int) Math.ceil(urgent * BASE_SHARE);
			this.now = now;
			pools.forEach((pool) -> this.planned.put(pool, service.pool(pool).expected()));
			int share = (int) (required * MIN_DOMAIN_SHARE * 2 / pools.size());
			this.minPerDomain = Math.min(rule.maxEndpoints(), Math.max(rule.minEndpoints(), share));
		}

		private void fill() {
			while (isShort()) {
				Pool next = this.planned.keySet()
					.stream()
					.filter(this::canAdd)
					.min(Comparator.comparing((Pool pool) -> total(pool.domain()) >= this.minPerDomain)
						.thenComparing(this::isExposed)
						.thenComparing((pool) -> this.scaling.price(pool.domain(), pool.spot()))
						.thenComparing((pool) -> total(pool.domain()))
						.thenComparing(Pool::domain))
					.orElse(null);
				if (next == null) {
					return;
				}
				this.planned.merge(next, 1, Integer::sum);
			}
		}

		// An endpoint is added only where it reduces what is missing.
		private boolean canAdd(Pool pool) {
			if (!hasRoom(pool)) {
				return false;
			}
			return total() < this.required || total(pool.domain()) < this.rule.minEndpoints()
					|| (!pool.spot() && onDemand() < this.base) || (remaining() < this.urgent && !isExposed(pool));
		}

		// Returns whether one more endpoint would be lost with too many others of its
		// domain. Beyond the number that may be lost, spot endpoints are added evenly, as
		// long as the additional ones cost less than on-demand endpoints.
		private boolean isExposed(Pool pool) {
			if (!pool.spot()) {
				return false;
			}
			if (onDemand() < this.base) {
				return true;
			}
			int count = this.planned.get(pool);
			if (count < Math.max(this.required, total() + 1) - this.urgent) {
				return false;
			}
			List<Integer> others = this.planned.keySet()
				.stream()
				.filter((other) -> other.spot() && !other.equals(pool) && hasRoom(other))
				.map(this.planned::get)
				.toList();
			double addedShare = (others.size() + 1.0) / Math.max(1, others.size());
			return others.isEmpty() || addedShare * this.scaling.spotPrice() >= 1
					|| others.stream().anyMatch((other) -> other < count);
		}

		private boolean hasRoom(Pool pool) {
			return total(pool.domain()) < this.rule.maxEndpoints()
					&& this.now >= this.service.pool(pool).blockedUntilMillis;
		}

		private boolean isShort() {
			return total() < this.required || onDemand() < this.base || remaining() < this.urgent
					|| this.planned.keySet()
						.stream()
						.anyMatch((pool) -> total(pool.domain()) < this.rule.minEndpoints());
		}

		// Takes away the dearest idle endpoints.
		private void reduce(Map<String, EndpointCounts> counts, int kept) {
			Map<Pool, Integer> idle = new HashMap<>();
			this.planned.forEach((pool, count) -> idle.put(pool,
					Math.min(count, counts.getOrDefault(pool.domain(), EndpointCounts.NONE).idle(pool.spot()))));
			while (total() > kept) {
				Pool next = this.planned.keySet()
					.stream()
					.filter((pool) -> idle.get(pool) > 0 && canRemove(pool))
					.max(Comparator.comparingDouble((Pool pool) -> this.scaling.price(pool.domain(), pool.spot())))
					.orElse(null);
				if (next == null) {
					return;
				}
				this.planned.merge(next, -1, Integer::sum);
				idle.merge(next, -1, Integer::sum);
			}
		}

		private boolean canRemove(Pool pool) {
			if (total(pool.domain()) <= this.minPerDomain || (!pool.spot() && onDemand() <= this.base)) {
				return false;
			}
			this.planned.merge(pool, -1, Integer::sum);
			boolean sufficient = remaining() >= this.urgent;
			this.planned.merge(pool, 1, Integer::sum);
			return sufficient;
		}

		private int total() {
			return this.planned.values().stream().mapToInt(Integer::intValue).sum();
		}

		private int total(String domain) {
			return this.planned.getOrDefault(new Pool(domain, false), 0)
					+ this.planned.getOrDefault(new Pool(domain, true), 0);
		}

		private int onDemand() {
			return this.planned.entrySet()
				.stream()
				.filter((entry) -> !entry.getKey().spot())
				.mapToInt(Map.Entry::getValue)
				.sum();
		}

		// Returns the number of endpoints that remain if the domain with the most spot
		// endpoints loses them.
		private int remaining() {
			return total() - this.planned.entrySet()
				.stream()
				.filter((entry) -> entry.getKey().spot())
				.mapToInt(Map.Entry::getValue)
				.max()
				.orElse(0);
		}

	}

}
