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
 * for itself and keeps to its share of the spending limits, so that the limits hold
 * without a word between the domains.
 * <p>
 * Not thread-safe; used by one loop.
 */
public final class ScalingPlan {

	/**
	 * Share of an endpoint's capacity that is planned for; the rest takes bursts until
	 * another endpoint is warm.
	 */
	private static final double PLANNED_USE = 0.7;

	/** The most that a rising arrival rate is extrapolated. */
	private static final double MAX_GROWTH = 2.0;

	private static final long FAST_RATE_MILLIS = 5_000;

	private static final long MIN_SLOW_RATE_MILLIS = 20_000;

	private final Tuning tuning;

	private final Map<ServiceId, State> states = new HashMap<>();

	private ScalingPlan(Tuning tuning) {
		this.tuning = Objects.requireNonNull(tuning, "tuning");
	}

	/**
	 * Creates a plan.
	 * @param tuning holds, billing and costs
	 * @return the plan
	 */
	public static ScalingPlan of(Tuning tuning) {
		return new ScalingPlan(tuning);
	}

	/**
	 * Decides for one service.
	 * @param view the service in this domain
	 * @param now the monotonic clock, in milliseconds
	 * @return the orders to give, starts before stops
	 */
	public List<Change> decide(View view, long now) {
		State state = this.states.computeIfAbsent(view.service().name(), (name) -> new State());
		List<EndpointView> live = view.endpoints().stream().filter((endpoint) -> !endpoint.leaving()).toList();
		int steady = (int) live.stream().filter((endpoint) -> !endpoint.cheap()).count() + view.pendingSteady();
		int cheap = live.size() - (steady - view.pendingSteady()) + view.pendingCheap();
		Target target = view.allOn() ? new Target(limit(view), 0) : target(view, live, state, now);
		List<Change> changes = new ArrayList<>();
		boolean rising = target.steady() > steady || target.cheap() > cheap;
		state.risingSince = rising ? Math.min(state.risingSince, now) : Long.MAX_VALUE;
		boolean belowFloor = steady < floor(view);
		if (rising && (belowFloor || now - state.risingSince >= this.tuning.upHoldMillis())) {
			start(changes, "steady", target.steady() - steady, state.steadyUnavailableUntil, now);
			start(changes, "cheap", target.cheap() - cheap, state.cheapUnavailableUntil, now);
		}
		boolean falling = target.steady() < steady || target.cheap() < cheap;
		state.fallingSince = falling ? Math.min(state.fallingSince, now) : Long.MAX_VALUE;
		if (falling && !rising && now - state.fallingSince >= this.tuning.downHoldMillis()) {
			Optional<Change> stop = stop(live, target, steady, cheap, now);
			stop.ifPresent((change) -> {
				changes.add(change);
				state.fallingSince = now;
			});
		}
		state.wanted = new Target(Math.max(0, target.steady() - steady), Math.max(0, target.cheap() - cheap));
		return changes;
	}

	/**
	 * Notes that the platform has no endpoint of a kind in this domain.
	 * @param service the service
	 * @param kind {@code steady} or {@code cheap}
	 * @param now the monotonic clock, in milliseconds
	 */
	public void onUnavailable(ServiceId service, String kind, long now) {
		State state = this.states.computeIfAbsent(service, (name) -> new State());
		if (kind.equals("cheap")) {
			state.cheapUnavailableUntil = now + this.tuning.unavailableMillis();
		}
		else {
			state.steadyUnavailableUntil = now + this.tuning.unavailableMillis();
		}
	}

	/**
	 * Returns what this domain asks of the others.
	 * @param now the monotonic clock, in milliseconds
	 * @param wall the wall clock, in milliseconds since the epoch
	 * @return the endpoints that are wanted and unavailable here
	 */
	public List<Shortage> shortages(long now, long wall) {
		List<Shortage> result = new ArrayList<>();
		this.states.forEach((service, state) -> {
			if (now < state.cheapUnavailableUntil && state.wanted.cheap() > 0) {
				result.add(
						new Shortage(service, "cheap", state.wanted.cheap(), wall - now + state.cheapUnavailableUntil));
			}
			if (now < state.steadyUnavailableUntil && state.wanted.steady() > 0) {
				result.add(new Shortage(service, "steady", state.wanted.steady(),
						wall - now + state.steadyUnavailableUntil));
			}
		});
		result.sort(
				Comparator.comparing((Shortage shortage) -> shortage.service().value()).thenComparing(Shortage::kind));
		return result;
	}

	private Target target(View view, List<EndpointView> live, State state, long now) {
		int floor = floor(view);
		int limit = Math.max(floor, limit(view));
		double demand = live.stream().mapToInt((endpoint) -> endpoint.running() + endpoint.waiting()).sum();
		double growth = state.growth(view.arrivalsPerSecond(), view.service().coldStartMillis(), now);
		int needed = (int) Math.ceil(demand * growth / (view.service().endpointCapacity() * PLANNED_USE));
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

	private static int floor(View view) {
		return view.limit().map(SpendingRule::minSteadyPerDomain).orElse(1);
	}

	private static int limit(View view) {
		int total = view.limit()
			.map(SpendingRule::maxEndpoints)
			.orElse(view.service().endpointsPerDomain() * view.domains());
		int share = total / view.domains() + ((view.domainIndex() < total % view.domains()) ? 1 : 0);
		return Math.min(view.service().endpointsPerDomain() + view.borrowedSteady() + view.borrowedCheap(), share);
	}

	private static void start(List<Change> changes, String kind, int count, long unavailableUntil, long now) {
		if (now >= unavailableUntil) {
			Stream.generate(() -> new Change("start", kind, null)).limit(Math.max(0, count)).forEach(changes::add);
		}
	}

	private Optional<Change> stop(List<EndpointView> live, Target target, int steady, int cheap, long now) {
		return live.stream()
			.filter((endpoint) -> endpoint.cheap() ? cheap > target.cheap() : steady > target.steady())
			.filter((endpoint) -> now - endpoint.startedAtMillis() >= this.tuning.minBilledMillis())
			.min(Comparator.comparingInt((EndpointView endpoint) -> endpoint.running() + endpoint.waiting())
				.thenComparing((endpoint) -> endpoint.endpoint().value()))
			.map((endpoint) -> new Change("stop", endpoint.cheap() ? "cheap" : "steady", endpoint.endpoint()));
	}

	/**
	 * Times and costs.
	 *
	 * @param upHoldMillis how long more is wanted before a start, in milliseconds
	 * @param downHoldMillis how long less is wanted before each stop, in milliseconds
	 * @param minBilledMillis the time that each started endpoint is billed at least, in
	 * milliseconds
	 * @param unavailableMillis the wait before a kind that was unavailable is asked for
	 * again, in milliseconds
	 * @param steadyCost cost units of a steady endpoint an hour
	 * @param cheapCost cost units of a cheap endpoint an hour
	 */
	public record Tuning(long upHoldMillis, long downHoldMillis, long minBilledMillis, long unavailableMillis,
			double steadyCost, double cheapCost) {

		/**
		 * Returns the standard values.
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
	 * A service in a domain.
	 *
	 * @param service the service
	 * @param limit its spending limit
	 * @param allOn whether the baseline policy is in force
	 * @param repeatableShare the share of the work that can be resumed or repeated
	 * @param domains the failure domains in service
	 * @param domainIndex the place of this domain among them, counted from 0
	 * @param arrivalsPerSecond requests a second
	 * @param endpoints the endpoints in this domain
	 * @param pendingSteady steady endpoints that are ordered and not yet listed
	 * @param pendingCheap cheap endpoints that are ordered and not yet listed
	 * @param borrowedSteady steady endpoints that another domain lacks and this one runs
	 * @param borrowedCheap cheap endpoints that another domain lacks and this one runs
	 */
	public record View(ServiceEntry service, Optional<SpendingRule> limit, boolean allOn, double repeatableShare,
			int domains, int domainIndex, double arrivalsPerSecond, List<EndpointView> endpoints, int pendingSteady,
			int pendingCheap, int borrowedSteady, int borrowedCheap) {

		public View {
			endpoints = List.copyOf(endpoints);
			if (domains <= 0) {
				throw new IllegalArgumentException("domains must be positive: " + domains);
			}
		}

	}

	/**
	 * An endpoint with its last load report.
	 *
	 * @param endpoint the name
	 * @param cheap whether it can be evicted at any moment
	 * @param leaving whether it stops
	 * @param running requests that it serves
	 * @param waiting requests that it queues
	 * @param startedAtMillis when it was first seen, on the monotonic clock
	 */
	public record EndpointView(EndpointId endpoint, boolean cheap, boolean leaving, int running, int waiting,
			long startedAtMillis) {
	}

	/**
	 * An order to give.
	 *
	 * @param action {@code start} or {@code stop}
	 * @param kind {@code steady} or {@code cheap}
	 * @param endpoint the endpoint to stop; null for a start
	 */
	public record Change(String action, String kind, @Nullable EndpointId endpoint) {
	}

	private record Target(int steady, int cheap) {
	}

	private static final class State {

		private long risingSince = Long.MAX_VALUE;

		private long fallingSince = Long.MAX_VALUE;

		private long cheapUnavailableUntil = Long.MIN_VALUE;

		private long steadyUnavailableUntil = Long.MIN_VALUE;

		private Target wanted = new Target(0, 0);

		private double fastRate = -1;

		private double slowRate;

		private long ratedAt;

		private double growth(double rate, long coldStartMillis, long now) {
			if (this.fastRate < 0) {
				this.fastRate = rate;
				this.slowRate = rate;
			}
			double elapsed = Math.max(0, now - this.ratedAt);
			this.ratedAt = now;
			this.fastRate += (rate - this.fastRate) * (1 - Math.exp(-elapsed / FAST_RATE_MILLIS));
			// The slow average covers a cold start: the rate is extrapolated over the
			// time
			// that a started endpoint needs before it helps.
			long slow = Math.max(coldStartMillis, MIN_SLOW_RATE_MILLIS);
			this.slowRate += (rate - this.slowRate) * (1 - Math.exp(-elapsed / slow));
			if (this.slowRate <= 0) {
				return 1;
			}
			return Math.min(MAX_GROWTH, Math.max(1, this.fastRate / this.slowRate));
		}

	}

}
