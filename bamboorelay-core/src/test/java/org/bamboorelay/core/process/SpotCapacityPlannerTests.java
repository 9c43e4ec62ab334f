package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongUnaryOperator;

import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.ServiceRule;
import org.bamboorelay.core.version.SpotScaling;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link SpotCapacityPlanner} against a simulated platform, compared with
 * {@link EndpointAutoscaler}, which orders on-demand endpoints by the number of items.
 */
class SpotCapacityPlannerTests {

	private static final SpotScaling SCALING = new SpotScaling(4_000, 0.15, Map.of("a", 1.0, "b", 0.8, "c", 1.25));

	private static final ServiceRule RULE = new ServiceRule("s", "/health", 100, 0, List.of("m"), 1, 21, 0, SCALING);

	private static final Set<String> DOMAINS = Set.of("a", "b", "c");

	private static final int SLOTS = 8;

	private static final long ITEM_MILLIS = 1_000;

	private static final long DUE_MILLIS = 8_000;

	private static final int ITEMS_PER_BURST = 400;

	@Test
	void lossOfAllSpotEndpointsOfADomainTwiceKeepsDueWorkInTime() {
		// The loss of a domain's spot endpoints, without replacements for 11 s, must not
		// make due work late that on-demand endpoints alone would complete in time.
		Simulation today = new Simulation(false, 3);
		Simulation planned = new Simulation(true, 3);
		for (Simulation simulation : List.of(today, planned)) {
			simulation.reclaims.put(30_000L, 11_000L);
			simulation.reclaims.put(46_000L, 11_000L);
			simulation.run(80_000, (millis) -> 3 * ITEMS_PER_BURST);
		}
		print("reclaim twice", today, planned);
		assertThat(planned.reclaimed).isPositive();
		assertThat(planned.onTimeShare()).isGreaterThanOrEqualTo(today.onTimeShare() - 0.01);
		assertThat(planned.cost).isLessThan(today.cost);
	}

	@Test
	void burstIsDoneInTimeAtLowerCost() {
		Simulation today = new Simulation(false, 3);
		Simulation planned = new Simulation(true, 3);
		for (Simulation simulation : List.of(today, planned)) {
			simulation.run(60_000, (millis) -> (millis == 20_000) ? 3 * ITEMS_PER_BURST : ITEMS_PER_BURST / 4);
		}
		print("burst", today, planned);
		assertThat(planned.onTimeShare()).isGreaterThanOrEqualTo(today.onTimeShare() - 0.01);
		assertThat(planned.cost).isLessThan(today.cost);
	}

	@Test
	void fallingDemandReducesTheDearestLate() {
		Simulation today = new Simulation(false, 45);
		Simulation planned = new Simulation(true, 45);
		for (Simulation simulation : List.of(today, planned)) {
			simulation.run(120_000, (millis) -> (millis < 30_000) ? 3 * ITEMS_PER_BURST : 16);
		}
		print("falling demand", today, planned);
		// The last large burst arrives at 28 s; fewer endpoints must suffice for 30 s.
		// The
		// large bursts need 3 * 400 items * 1 s / 4 s / 8 slots = 37.5 endpoints.
		assertThat(planned.fewestBefore58Seconds).isGreaterThanOrEqualTo(38);
		assertThat(planned.endpoints).hasSizeLessThan(20);
		assertThat(planned.firstReductionMillis).isGreaterThanOrEqualTo(30_000);
		assertThat(planned.firstReducedDomain).isEqualTo("c");
		assertThat(planned.onTimeShare()).isGreaterThanOrEqualTo(today.onTimeShare());
		assertThat(planned.cost).isLessThanOrEqualTo(today.cost);
	}

	@Test
	void newLeaseHolderOrdersNoReductionAndKeepsTheShare() {
		Simulation undisturbed = new Simulation(true, 5);
		Simulation replaced = new Simulation(true, 5);
		replaced.takeOverMillis = 22_000;
		for (Simulation simulation : List.of(undisturbed, replaced)) {
			simulation.run(60_000, (millis) -> ITEMS_PER_BURST);
		}
		print("take-over", undisturbed, replaced);
		assertThat(replaced.firstReductionMillis).isGreaterThanOrEqualTo(replaced.takeOverMillis + 30_000);
		assertThat(replaced.onTimeShare()).isGreaterThanOrEqualTo(undisturbed.onTimeShare() - 0.01);
	}

	@Test
	void spotEndpointsOfABurstAreDividedBeforeItsWorkIsUrgent() {
		// The cheapest domain would get all endpoints, and lose them together.
		SpotCapacityPlanner planner = SpotCapacityPlanner.of(ManualClock.of(100_000));
		List<SpotCapacityPlanner.Order> orders = planner.nextOrders(RULE, DueWork.NONE.plus(DUE_MILLIS, 400_000), SLOTS,
				Map.of("a", new EndpointCounts(1, 0, 0, 0)), DOMAINS);
		int total = orders.stream().mapToInt(SpotCapacityPlanner.Order::count).sum();
		assertThat(orders).filteredOn(SpotCapacityPlanner.Order::spot)
			.isNotEmpty()
			.allSatisfy((order) -> assertThat(order.count()).isLessThanOrEqualTo(total / 2 + 1));
	}

	@Test
	void sufficientEndpointsAreLeftAlone() {
		Simulation planned = new Simulation(true, 33);
		planned.run(25_000, (millis) -> ITEMS_PER_BURST / 2);
		assertThat(planned.orders).isZero();
	}

	@Test
	void refusedKindIsNotOrderedAgainDuringItsBackoff() {
		// Repeated orders for spot endpoints that do not exist cost time in which another
		// kind could start.
		ManualClock clock = ManualClock.of(100_000);
		SpotCapacityPlanner planner = SpotCapacityPlanner.of(clock);
		Map<String, EndpointCounts> counts = Map.of("a", new EndpointCounts(2, 0, 0, 0));
		DueWork work = DueWork.NONE.plus(DUE_MILLIS, 200_000);
		List<Long> refusals = new ArrayList<>();
		boolean orderedOnDemand = false;
		for (int tick = 0; tick < 120; tick++) {
			for (SpotCapacityPlanner.Order order : planner.nextOrders(RULE, work, SLOTS, counts, DOMAINS)) {
				if (order.spot() && order.domain().equals("b")) {
					refusals.add(clock.millis());
				}
				orderedOnDemand |= !order.spot();
				planner.onResult(order,
						order.spot() ? SpotCapacityPlanner.Result.NONE_AVAILABLE : SpotCapacityPlanner.Result.ACCEPTED);
			}
			clock.advance(500);
		}
		assertThat(orderedOnDemand).isTrue();
		assertThat(refusals).hasSizeBetween(4, 7);
		assertThat(refusals.get(3) - refusals.get(2)).isGreaterThanOrEqualTo(8_000);
	}

	private static void print(String name, Simulation reference, Simulation planned) {
		System.out.printf("%s: reference %.4f in time, cost %.1f, %d orders; planner %.4f, cost %.1f, %d orders%n",
				name, reference.onTimeShare(), reference.cost, reference.orders, planned.onTimeShare(), planned.cost,
				planned.orders, planned.reclaimed);
	}

	// A platform that starts and reclaims endpoints, and hosts that submit a burst of
	// items every 4 s. Each slot works on one item at a time, the earliest due first.
	private static final class Simulation {

		private static final long TICK_MILLIS = 500;

		private final ManualClock clock = ManualClock.of(0);

		private final EndpointAutoscaler autoscaler = EndpointAutoscaler.of(this.clock);

		private SpotCapacityPlanner planner = SpotCapacityPlanner.of(this.clock);

		private final boolean planned;

		private final List<Endpoint> endpoints = new ArrayList<>();

		private final List<long[]> items = new ArrayList<>();

		private final Map<Long, Long> reclaims = new HashMap<>();

		private long unavailableUntil;

		private long takeOverMillis = -1;

		private long firstReductionMillis = Long.MAX_VALUE;

		private String firstReducedDomain = "";

		private int fewestBefore58Seconds = Integer.MAX_VALUE;

		private int reclaimed;

		private int orders;

		private int total;

		private int onTime;

		private double cost;

		private Simulation(boolean planned, int onDemand) {
			this.planned = planned;
			for (int index = 0; index < onDemand; index++) {
				this.endpoints.add(new Endpoint(List.of("a", "b", "c").get(index % 3), false, 0));
			}
		}

		private void run(long millis, LongUnaryOperator arrivals) {
			for (long now = 0; now < millis; now += TICK_MILLIS) {
				if (now % 4_000 == 0) {
					for (long count = arrivals.applyAsLong(now); count > 0; count--) {
						this.items.add(new long[] { now + DUE_MILLIS, ITEM_MILLIS });
						this.total += (now + DUE_MILLIS < millis) ? 1 : 0;
					}
				}
				reclaim(now);
				this.endpoints.removeIf((endpoint) -> endpoint.endsAt <= this.clock.millis());
				work(now, millis);
				if (now == this.takeOverMillis) {
					this.planner = SpotCapacityPlanner.of(this.clock);
				}
				for (int round = 0; round < 4 && order(now); round++) {
					assertThat(round).isLessThan(4);
				}
				if (now < 58_000) {
					this.fewestBefore58Seconds = Math.min(this.fewestBefore58Seconds, this.endpoints.size());
				}
				this.clock.advance(TICK_MILLIS);
			}
		}

		// Reclaims all spot endpoints of the domain that has the most.
		private void reclaim(long now) {
			if (!this.reclaims.containsKey(now)) {
				return;
			}
			this.unavailableUntil = now + this.reclaims.get(now);
			Map<String, Integer> spot = new HashMap<>();
			this.endpoints.stream().filter((one) -> one.spot).forEach((one) -> spot.merge(one.domain, 1, Integer::sum));
			spot.entrySet().stream().max(Map.Entry.comparingByValue()).ifPresent((most) -> {
				for (Endpoint endpoint : this.endpoints) {
					if (endpoint.spot && endpoint.domain.equals(most.getKey())) {
						endpoint.leaving = true;
						endpoint.endsAt = now + 2_000;
						this.reclaimed++;
					}
				}
			});
		}

		private void work(long now, long end) {
			this.items.sort(Comparator.comparingLong((item) -> item[0]));
			int next = 0;
			for (Endpoint endpoint : this.endpoints) {
				this.cost += SCALING.price(endpoint.domain, endpoint.spot) * TICK_MILLIS / 1_000;
				int slots = (endpoint.startsAt <= now && !endpoint.leaving) ? SLOTS : 0;
				endpoint.idle = slots > 0 && next >= this.items.size();
				for (int slot = 0; slot < slots && next < this.items.size(); slot++) {
					this.items.get(next++)[1] -= TICK_MILLIS;
				}
			}
			this.items.removeIf((item) -> {
				this.onTime += (item[1] <= 0 && now + TICK_MILLIS <= item[0] && item[0] < end) ? 1 : 0;
				return item[1] <= 0;
			});
		}

		// Returns whether an order was refused.
		private boolean order(long now) {
			Map<String, EndpointCounts> counts = new HashMap<>();
			Map<String, Integer> sums = new HashMap<>();
			this.endpoints.stream().filter((one) -> one.startsAt <= now && !one.leaving).forEach((one) -> {
				counts.merge(one.domain, EndpointCounts.NONE.plusOne(one.spot, one.idle),
						(before, unused) -> before.plusOne(one.spot, one.idle));
				sums.merge(one.domain, 1, Integer::sum);
			});
			if (!this.planned) {
				this.autoscaler.nextOrders(RULE, this.items.size(), SLOTS, sums, DOMAINS)
					.forEach((order) -> scale(now, order.domain(), false, order.count()));
				return false;
			}
			DueWork work = DueWork.NONE;
			for (long[] item : this.items) {
				work = work.plus(item[0] - now, item[1]);
			}
			boolean refused = false;
			for (SpotCapacityPlanner.Order order : this.planner.nextOrders(RULE, work, SLOTS, counts, DOMAINS)) {
				boolean unavailable = order.spot() && now < this.unavailableUntil;
				this.planner.onResult(order,
						unavailable ? SpotCapacityPlanner.Result.NONE_AVAILABLE : SpotCapacityPlanner.Result.ACCEPTED);
				refused |= unavailable;
				if (!unavailable) {
					scale(now, order.domain(), order.spot(), order.count());
				}
			}
			return refused;
		}

		private void scale(long now, String domain, boolean spot, int count) {
			this.orders++;
			List<Endpoint> present = new ArrayList<>(this.endpoints.stream()
				.filter((one) -> one.domain.equals(domain) && one.spot == spot && !one.leaving)
				.sorted(Comparator.comparing((Endpoint one) -> !one.idle))
				.toList());
			if (count < present.size() && now < this.firstReductionMillis) {
				this.firstReductionMillis = now;
				this.firstReducedDomain = domain;
			}
			for (int index = present.size(); index < count; index++) {
				this.endpoints.add(new Endpoint(domain, spot, now + SCALING.bootMillis()));
			}
			present.stream().limit(Math.max(0, present.size() - count)).forEach(this.endpoints::remove);
		}

		private double onTimeShare() {
			return (double) this.onTime / this.total;
		}

	}

	private static final class Endpoint {

		private final String domain;

		private final boolean spot;

		private final long startsAt;

		private long endsAt = Long.MAX_VALUE;

		private boolean leaving;

		private boolean idle;

		private Endpoint(String domain, boolean spot, long startsAt) {
			this.domain = domain;
			this.spot = spot;
			this.startsAt = startsAt;
		}

	}

}
