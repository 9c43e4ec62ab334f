package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

import org.bamboorelay.core.process.OrderLog.Shortage;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.Inventory.ServiceEntry;
import org.bamboorelay.core.version.Rules.SpendingRule;
import org.bamboorelay.core.version.ServiceId;
import org.jspecify.annotations.Nullable;

/**
 * Decides how many endpoints of each service a failure domain runs. Each domain decides
 * independently within its share of the spending limits, so that the limits hold without
 * communication between the domains.
 * <p>
 * Not thread-safe; used by one loop.
 */
public final class ScalingPlan {

	/**
	 * Target utilization of an endpoint's capacity. The remainder absorbs bursts until
	 * another endpoint is warm.
	 */
	private static final double TARGET_UTILIZATION = 0.7;

	/** Maximum factor by which a rising arrival rate is extrapolated. */
	private static final double MAX_GROWTH_FACTOR = 2.0;

	private static final long FAST_RATE_TIME_CONSTANT_MILLIS = 5_000;

	private static final long MIN_SLOW_RATE_TIME_CONSTANT_MILLIS = 20_000;

	private final Tuning tuning;

	private final Map<ServiceId, State> states = new HashMap<>();

	private ScalingPlan(Tuning tuning) {
		this.tuning = Objects.requireNonNull(tuning, "tuning");
	}

	/**
	 * Creates a plan.
	 * @param tuning the delays, the billing and the costs
	 * @return the plan
	 */
	public static ScalingPlan of(Tuning tuning) {
		return new ScalingPlan(tuning);
	}

	/**
	 * Decides for one service.
	 * @param view the service in this domain
	 * @param nowMillis the monotonic clock, in milliseconds
	 * @return the orders to send, starts before stops
	 */
	public List<ScalingOrder> decide(ServiceView view, long nowMillis) {
		State state = this.states.computeIfAbsent(view.service().name(), (name) -> new State());
		List<EndpointView> live = view.endpoints().stream().filter((endpoint) -> !endpoint.leaving()).toList();
		int steady = (int) live.stream().filter((endpoint) -> !endpoint.cheap()).count() + view.pendingSteady();
		int cheap = live.size() - (steady - view.pendingSteady()) + view.pendingCheap();
		Target target = view.allOn() ? new Target(limit(view), 0) : target(view, live, state, nowMillis);
		List<ScalingOrder> changes = new ArrayList<>();
		boolean scaleUp = target.steady() > steady || target.cheap() > cheap;
		state.scaleUpSinceMillis = scaleUp ? Math.min(state.scaleUpSinceMillis, nowMillis) : Long.MAX_VALUE;
		boolean belowFloor = steady < floor(view);
		if (scaleUp && (belowFloor || nowMillis - state.scaleUpSinceMillis >= this.tuning.scaleUpDelayMillis())) {
			start(changes, "steady", target.steady() - steady, state.steadyUnavailableUntilMillis, nowMillis);
			start(changes, "cheap", target.cheap() - cheap, state.cheapUnavailableUntilMillis, nowMillis);
		}
		boolean scaleDown = target.steady() < steady || target.cheap() < cheap;
		state.scaleDownSinceMillis = scaleDown ? Math.min(state.scaleDownSinceMillis, nowMillis) : Long.MAX_VALUE;
		if (scaleDown && !scaleUp && nowMillis - state.scaleDownSinceMillis >= this.tuning.scaleDownDelayMillis()) {
			Optional<ScalingOrder> stop = stop(live, target, steady, cheap, nowMillis);
			stop.ifPresent((change) -> {
				changes.add(change);
				state.scaleDownSinceMillis = nowMillis;
			});
		}
		state.wanted = new Target(Math.max(0, target.steady() - steady), Math.max(0, target.cheap() - cheap));
		return changes;
	}

	/**
	 * Records that the platform has no endpoint of a kind available in this domain.
	 * @param service the service
	 * @param kind {@code steady} or {@code cheap}
	 * @param nowMillis the monotonic clock, in milliseconds
	 */
	public void onUnavailable(ServiceId service, String kind, long nowMillis) {
		State state = this.states.computeIfAbsent(service, (name) -> new State());
		if (kind.equals("cheap")) {
			state.cheapUnavailableUntilMillis = nowMillis + this.tuning.unavailableMillis();
		}
		else {
			state.steadyUnavailableUntilMillis = nowMillis + this.tuning.unavailableMillis();
		}
	}

	/**
	 * Returns the endpoints that this domain asks other domains to run.
	 * @param nowMillis the monotonic clock, in milliseconds
	 * @param wallMillis the wall clock, in milliseconds since the epoch
	 * @return the endpoints that are wanted but unavailable in this domain
	 */
	public List<Shortage> shortages(long nowMillis, long wallMillis) {
		List<Shortage> result = new ArrayList<>();
		this.states.forEach((service, state) -> {
			if (nowMillis < state.cheapUnavailableUntilMillis && state.wanted.cheap() > 0) {
				result.add(new Shortage(service, "cheap", state.wanted.cheap(),
						wallMillis - nowMillis + state.cheapUnavailableUntilMillis));
			}
			if (nowMillis < state.steadyUnavailableUntilMillis && state.wanted.steady() > 0) {
				result.add(new Shortage(service, "steady", state.wanted.steady(),
						wallMillis - nowMillis + state.steadyUnavailableUntilMillis));
			}
		});
		result.sort(
				Comparator.comparing((Shortage shortage) -> shortage.service().value()).thenComparing(Shortage::kind));
		return result;
	}

	private Target target(ServiceView view, List<EndpointView> live, State state, long nowMillis) {
		int floor = floor(view);
		int limit = Math.max(floor, limit(view));
		double demand = live.stream().mapToInt((endpoint) -> endpoint.running() + endpoint.waiting()).sum();
		double growth = state.growth(view.arrivalsPerSecond(), view.service().coldStartMillis(), nowMillis);
		int needed = (int) Math.ceil(demand * growth / (view.service().endpointCapacity() * TARGET_UTILIZATION));
		int wanted = Math.min(limit, Math.max(floor, needed));
		int cheap = Math.min((int) Math.floor(wanted * view.repeatableShare()), wanted - floor);
		int steady = wanted - cheap + view.borrowedSteady();
		if (view.repeatableShare() > 0) {
			cheap += view.borrowedCheap();
		}
		double budget = view.limit().map(SpendingRule::maxCostPerHour).orElse(Double.MAX_VALUE) / view.domains();
		while (steady + cheap > limit || this.tuning.cost(steady, cheap) > budget) {
			if (cheap > 0 && steady <= floor) {
				cheap--;
			}
			else if (steady > floor) {
				steady--;
			}
			else {
				break;
			}
		}
		return new Target(steady, cheap);
	}

	private static int floor(ServiceView view) {
		return view.limit().map(SpendingRule::minSteadyPerDomain).orElse(1);
	}

	private static int limit(ServiceView view) {
		int total = view.limit()
			.map(SpendingRule::maxEndpoints)
			.orElse(view.service().endpointsPerDomain() * view.domains());
		int share = total / view.domains() + ((view.domainIndex() < total % view.domains()) ? 1 : 0);
		return Math.min(view.service().endpointsPerDomain() + view.borrowedSteady() + view.borrowedCheap(), share);
	}

	private static void start(List<ScalingOrder> changes, String kind, int count, long unavailableUntilMillis,
			long nowMillis) {
		if (nowMillis >= unavailableUntilMillis) {
			Stream.generate(() -> new ScalingOrder("start", kind, null))
				.limit(Math.max(0, count))
				.forEach(changes::add);
		}
	}

	private Optional<ScalingOrder> stop(List<EndpointView> live, Target target, int steady, int cheap, long nowMillis) {
		return live.stream()
			.filter((endpoint) -> endpoint.cheap() ? cheap > target.cheap() : steady > target.steady())
			.filter((endpoint) -> nowMillis - endpoint.startedAtMillis() >= this.tuning.minBilledMillis())
			.min(Comparator.comparingInt((EndpointView endpoint) -> endpoint.running() + endpoint.waiting())
				.thenComparing((endpoint) -> endpoint.endpoint().value()))
			.map((endpoint) -> new ScalingOrder("stop", endpoint.cheap() ? "cheap" : "steady", endpoint.endpoint()));
	}

	/**
	 * Delays and costs.
	 *
	 * @param scaleUpDelayMillis how long more endpoints must be wanted before a start, in
	 * milliseconds
	 * @param scaleDownDelayMillis how long fewer endpoints must be wanted before each
	 * stop, in milliseconds
	 * @param minBilledMillis the minimum billed time of a started endpoint, in
	 * milliseconds
	 * @param unavailableMillis the time before an unavailable kind is requested again, in
	 * milliseconds
	 * @param steadyCost the cost units of a steady endpoint per hour
	 * @param cheapCost the cost units of a cheap endpoint per hour
	 */
	public record Tuning(long scaleUpDelayMillis, long scaleDownDelayMillis, long minBilledMillis,
			long unavailableMillis, double steadyCost, double cheapCost) {

		/**
		 * Returns the default values.
		 * @return the values
		 */
		public static Tuning standard() {
			return new Tuning(3_000, 60_000, 300_000, 30_000, 1.0, 0.3);
		}

		double cost(int steady, int cheap) {
			return steady * this.steadyCost + cheap * this.cheapCost;
		}

	}

	/**
	 * A service in a failure domain.
	 *
	 * @param service the service
	 * @param limit its spending limit
	 * @param allOn whether the baseline policy, which runs all endpoints, is in force
	 * @param repeatableShare the share of the work that can be resumed or repeated
	 * @param domains the number of failure domains in service
	 * @param domainIndex the zero-based index of this domain among them
	 * @param arrivalsPerSecond the request rate, per second
	 * @param endpoints the endpoints in this domain
	 * @param pendingSteady the steady endpoints that are ordered but not yet listed
	 * @param pendingCheap the cheap endpoints that are ordered but not yet listed
	 * @param borrowedSteady the steady endpoints that this domain runs for another one
	 * @param borrowedCheap the cheap endpoints that this domain runs for another one
	 */
	public record ServiceView(ServiceEntry service, Optional<SpendingRule> limit, boolean allOn, double repeatableShare,
			int domains, int domainIndex, double arrivalsPerSecond, List<EndpointView> endpoints, int pendingSteady,
			int pendingCheap, int borrowedSteady, int borrowedCheap) {

		public ServiceView {
			endpoints = List.copyOf(endpoints);
			if (domains <= 0) {
				throw new IllegalArgumentException("domains must be positive: " + domains);
			}
		}

	}

	/**
	 * An endpoint with its last load report.
	 *
	 * @param endpoint the id of the endpoint
	 * @param cheap whether it can be evicted at any time
	 * @param leaving whether it is stopping
	 * @param running the number of requests that it serves
	 * @param waiting the number of requests that it queues
	 * @param startedAtMillis when it was first seen, on the monotonic clock
	 */
	public record EndpointView(EndpointId endpoint, boolean cheap, boolean leaving, int running, int waiting,
			long startedAtMillis) {
	}

	/**
	 * An order to start or stop an endpoint.
	 *
	 * @param action {@code start} or {@code stop}
	 * @param kind {@code steady} or {@code cheap}
	 * @param endpoint the endpoint to stop; null for a start
	 */
	public record ScalingOrder(String action, String kind, @Nullable EndpointId endpoint) {
	}

	private record Target(int steady, int cheap) {
	}

	private static final class State {

		private long scaleUpSinceMillis = Long.MAX_VALUE;

		private long scaleDownSinceMillis = Long.MAX_VALUE;

		private long cheapUnavailableUntilMillis = Long.MIN_VALUE;

		private long steadyUnavailableUntilMillis = Long.MIN_VALUE;

		private Target wanted = new Target(0, 0);

		private double fastRate = -1;

		private double slowRate;

		private long lastRateAtMillis;

		private double growth(double rate, long coldStartMillis, long nowMillis) {
			if (this.fastRate < 0) {
				this.fastRate = rate;
				this.slowRate = rate;
			}
			double elapsedMillis = Math.max(0, nowMillis - this.lastRateAtMillis);
			this.lastRateAtMillis = nowMillis;
			this.fastRate += (rate - this.fastRate) * (1 - Math.exp(-elapsedMillis / FAST_RATE_TIME_CONSTANT_MILLIS));
			// The slow average spans at least a cold start, so that the rate is
			// extrapolated over the time until a started endpoint is warm.
			long slowTimeConstantMillis = Math.max(coldStartMillis, MIN_SLOW_RATE_TIME_CONSTANT_MILLIS);
			this.slowRate += (rate - this.slowRate) * (1 - Math.exp(-elapsedMillis / slowTimeConstantMillis));
			if (this.slowRate <= 0) {
				return 1;
			}
			return Math.min(MAX_GROWTH_FACTOR, Math.max(1, this.fastRate / this.slowRate));
		}

	}

}
