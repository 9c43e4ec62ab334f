package org.bamboorelay.core.request;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.bamboorelay.core.time.Clock;

/**
 * Decides when a copy of a request that may be repeated is sent to a second endpoint, and
 * whether it is. Copies are limited to a share of the requests of their service; see
 * {@code docs/design/hedged-requests.md}.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class HedgingPolicy {

	/** Minimum number of samples of a route; with fewer, 0.95 is the maximum. */
	private static final int MIN_SAMPLES = 20;

	/** Copies that the budget of a service accumulates on all hosts together. */
	private static final int BURST_OF_ALL_HOSTS = 10;

	/**
	 * Share of the slots of the other endpoints that must be free. The load of other
	 * hosts is known only after their next status, so a copy must not use the last slots.
	 */
	private static final double MIN_FREE_SHARE = 0.25;

	/** Quantile that the remaining time of a request must allow for. */
	private static final double USUAL_QUANTILE = 0.5;

	/** Budgets are counted in millionths of a copy, so that sums are exact. */
	private static final long MILLIONTHS_PER_COPY = 1_000_000;

	/**
	 * Maximum number of routes and services for which state is kept; the response times
	 * of a route occupy about 39 KB.
	 */
	private static final int MAX_ENTRIES = 64;

	private final HedgingSettings settings;

	private final Clock clock;

	private final long millionthsPerRequest;

	private final long minSamples;

	private final Map<String, ResponseTimes> timesByRoute = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, ResponseTimes> eldest) {
			return size() > MAX_ENTRIES;
		}

	};

	private final Map<String, Budget> budgetsByService = new HashMap<>();

	private int burst = BURST_OF_ALL_HOSTS;

	private HedgingPolicy(HedgingSettings settings, Clock clock) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.millionthsPerRequest = (long) (settings.budget() * MILLIONTHS_PER_COPY);
		// A tolerance, because 1 - 0.95 is slightly more than 0.05 in binary.
		this.minSamples = Math.max(MIN_SAMPLES, (long) Math.ceil(1 / (1 - quantile()) - 1e-6));
	}

	/**
	 * Creates a policy without samples and with empty budgets.
	 * @param settings the settings of the operator
	 * @param clock the monotonic clock of the process
	 * @return the policy
	 */
	public static HedgingPolicy of(HedgingSettings settings, Clock clock) {
		return new HedgingPolicy(settings, clock);
	}

	/**
	 * Sets the number of hosts that share the burst of a budget.
	 * @param count the number of live hosts, including this one
	 */
	public synchronized void hostCount(int count) {
		this.burst = Math.max(1, BURST_OF_ALL_HOSTS / Math.max(1, count));
	}

	/**
	 * Returns whether requests of a route may be hedged.
	 * @param route the name of the route
	 * @return whether the settings cover the route
	 */
	public boolean covers(String route) {
		return this.settings.covers(route);
	}

	/**
	 * Records that a request that may be hedged begins, which adds to the budget of its
	 * service.
	 * @param route the name of its route
	 * @param service the service
	 * @return the time after which a copy is to be sent, in milliseconds; empty if no
	 * copy is to be sent
	 */
	public synchronized OptionalLong onRequest(String route, String service) {
		if (!covers(route)) {
			return OptionalLong.empty();
		}
		Budget budget = this.budgetsByService.get(service);
		if (budget == null && this.budgetsByService.size() < MAX_ENTRIES) {
			budget = new Budget();
			this.budgetsByService.put(service, budget);
		}
		if (budget != null) {
			budget.millionths = Math.min(this.burst * MILLIONTHS_PER_COPY,
					budget.millionths + this.millionthsPerRequest);
		}
		return delayMillis(route);
	}

	/**
	 * Records how long the first run of a request took.
	 * @param route the name of its route
	 * @param durationMillis the time until the response was complete, or until the run
	 * was cancelled because the copy had responded, in milliseconds
	 */
	public synchronized void onFirstRunEnded(String route, long durationMillis) {
		this.timesByRoute.computeIfAbsent(route, (unused) -> ResponseTimes.of(this.clock)).record(durationMillis);
	}

	/**
	 * Returns the delay in force for a route.
	 * @param route the name of the route
	 * @return the time after which a copy is sent, in milliseconds; empty if there are
	 * too few samples
	 */
	public synchronized OptionalLong delayMillis(String route) {
		ResponseTimes times = this.timesByRoute.get(route);
		if (times == null || times.count() < this.minSamples) {
			return OptionalLong.empty();
		}
		long minDelayMillis = Objects.requireNonNull(this.settings.minDelayMillis());
		return OptionalLong.of(Math.max(minDelayMillis, times.quantileMillis(quantile())));
	}

	/**
	 * Decides whether a copy is sent now. If it is, it is taken from the budget;
	 * {@link #returnCopy} gives it back if the copy was not sent after all.
	 * @param route the name of the route of the request
	 * @param service the service
	 * @param remainingMillis the time until the deadline of the request, in milliseconds
	 * @param freeSlots the free slots of the other endpoints that may take a copy
	 * @param slots all slots of these endpoints
	 * @return the reason for which no copy is sent; empty if it is
	 */
	public synchronized Optional<HedgeRefusal> takeCopy(String route, String service, long remainingMillis,
			int freeSlots, int slots) {
		ResponseTimes times = this.timesByRoute.get(route);
		if (times == null || remainingMillis <= times.quantileMillis(USUAL_QUANTILE)) {
			return Optional.of(HedgeRefusal.TIME);
		}
		if (freeSlots < 1 || freeSlots < MIN_FREE_SHARE * slots) {
			return Optional.of(HedgeRefusal.NO_SPARE_CAPACITY);
		}
		Budget budget = this.budgetsByService.get(service);
		if (budget == null || budget.millionths < (1 + budget.lingering) * MILLIONTHS_PER_COPY) {
			return Optional.of(HedgeRefusal.BUDGET);
		}
		budget.millionths -= MILLIONTHS_PER_COPY;
		return Optional.empty();
	}

	/**
	 * Gives a copy back that was taken from the budget and not sent.
	 * @param service the service
	 */
	public synchronized void returnCopy(String service) {
		Budget budget = this.budgetsByService.get(service);
		if (budget != null) {
			budget.millionths = Math.min(this.burst * MILLIONTHS_PER_COPY, budget.millionths + MILLIONTHS_PER_COPY);
		}
	}

	/**
	 * Records that a cancelled run has not ended yet. Until {@link #onLingeringEnded} it
	 * counts against the budget.
	 * @param service the service
	 */
	public synchronized void onLingering(String service) {
		Budget budget = this.budgetsByService.get(service);
		if (budget != null) {
			budget.lingering++;
		}
	}

	/**
	 * Records that a cancelled run has ended.
	 * @param service the service
	 */
	public synchronized void onLingeringEnded(String service) {
		Budget budget = this.budgetsByService.get(service);
		if (budget != null) {
			budget.lingering = Math.max(0, budget.lingering - 1);
		}
	}

	private double quantile() {
		return Objects.requireNonNull(this.settings.quantile());
	}

	private static final class Budget {

		private long millionths;

		private int lingering;

	}

}
