package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.bamboorelay.core.request.RequestOrigin;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.ServiceRule;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ReportedLoadPlacement}, compared with {@link EstimatedLoadPlacement}.
 */
class ReportedLoadPlacementTests {

	private static final EndpointRequirements PLAIN = EndpointRequirements.plain(RequestOrigin.CALLER, "s", Set.of());

	/** An endpoint is slow by 2.5 for 600 ms of each 4 s, each at another time. */
	private static final PlacementSimulation.Pace SHORT_SLOWNESS = (endpoint,
			millis) -> ((millis + endpoint * 370) % 4_000 < 600) ? 2.5 : 1;

	private final ManualClock clock = ManualClock.of(10_000);

	private final EndpointTable table = EndpointTable.create(this.clock);

	@Test
	void requestsAvoidEndpointsThatAreSlowForAShortTime() {
		PlacementSimulation.Durations today = plain(10, 11, 80, SHORT_SLOWNESS, false);
		PlacementSimulation.Durations reported = plain(10, 11, 80, SHORT_SLOWNESS, true);
		assertThat(reported.mean()).as(today + ", " + reported).isLessThan(today.mean());
		assertThat(reported.p99()).as(today + ", " + reported).isLessThanOrEqualTo(today.p99());
	}

	@Test
	void unevenEndpointsGetRequestsAccordingToTheirPace() {
		double[] speeds = { 0.6, 1, 1.6 };
		PlacementSimulation.Pace uneven = (endpoint, millis) -> 1 / speeds[endpoint % 3];
		PlacementSimulation.Durations today = plain(10, 11, 60, uneven, false);
		PlacementSimulation.Durations reported = plain(10, 11, 60, uneven, true);
		assertThat(reported.mean()).as(today + ", " + reported).isLessThan(today.mean());
		assertThat(reported.p99()).as(today + ", " + reported).isLessThanOrEqualTo(today.p99());
	}

	@Test
	void hostsThatSawTheSameReportDoNotAllChooseTheSameEndpoint() {
		// A figure reaches 50 hosts at the same time; the endpoint that it favours would
		// get all of their requests.
		int[] chosen = new int[10];
		for (int host = 0; host < 50; host++) {
			EndpointTable own = EndpointTable.create(this.clock, new SplittableRandom(host));
			for (int i = 0; i < chosen.length; i++) {
				own.put(entry("" + i));
				own.peerLoad("other", Map.of("" + i, 1));
			}
			EndpointTable.Grant grant = own.acquire(PLAIN);
			own.onLoadReported(grant, new ReportedLoad(0, 0, 6, 1));
			own.release(grant, EndpointTable.Outcome.SERVED);
			chosen[Integer.parseInt(own.acquire(PLAIN).id())]++;
		}
		assertThat(Arrays.stream(chosen).max().getAsInt()).isLessThanOrEqualTo(25);
	}

	@Test
	void reportsOlderThanASecondAreIgnored() {
		this.table.put(entry("a"));
		this.table.put(entry("b"));
		report("a", new ReportedLoad(0, 0, 6, 1));
		report("b", new ReportedLoad(6, 12, 6, 2.5));
		this.table.peerLoad("other", Map.of("a", 3));
		assertThat(this.table.explain(PLAIN).chosen()).as("load of b is reported").isEqualTo("a");
		this.clock.advance(1_000);
		assertThat(this.table.explain(PLAIN).chosen()).as("load of peers is known").isEqualTo("b");
	}

	@Test
	void serviceWithoutReportsKeepsItsRule() {
		this.table.put(entry("a"));
		this.table.put(entry("b"));
		assertThat(this.table.explain(PLAIN).reason()).isEqualTo(PlacementReason.LOWEST_LOAD);
		report("a", new ReportedLoad(0, 0, 6, 1));
		assertThat(this.table.explain(PLAIN).reason()).isEqualTo(PlacementReason.LEAST_DELAY);
	}

	@Test
	void itemsCompleteSoonerOnUnevenEnginesAndRepeatFewerPrefills() {
		double[] speeds = { 0.6, 1, 1.6 };
		PlacementSimulation.Pace pace = (endpoint, millis) -> SHORT_SLOWNESS.at(endpoint, millis)
				/ speeds[endpoint % 3];
		// Submissions arrive at the same time, or at different times. Hosts that place
		// items at the same time do not see each other's, so the mean may rise a little.
		for (int offsetMillis : new int[] { 0, 1_300 }) {
			PlacementSimulation.Durations today = items(pace, offsetMillis, false);
			PlacementSimulation.Durations reported = items(pace, offsetMillis, true);
			double margin = (offsetMillis == 0) ? 1.05 : 1;
			assertThat(reported.mean()).as(today + ", " + reported).isLessThan(margin * today.mean());
			assertThat(reported.p99()).as(today + ", " + reported).isLessThan(today.p99());
			assertThat(reported.prefills()).as(today + ", " + reported).isLessThan(today.prefills());
		}
	}

	@Test
	void itemGoesWhereItsGroupWasSentUntilItWouldWait() {
		// 3.9 of 5.8 million prefilled tokens were shared parts that an engine had
		// prefilled before.
		for (int i = 0; i < 10; i++) {
			this.table.put(entry("" + i));
		}
		report("0", new ReportedLoad(0, 0, 6, 1));
		String first = this.table.acquire(item(10, false)).id();
		for (int i = 1; i < 6; i++) {
			assertThat(this.table.explain(item(10, false)).reason()).isEqualTo(PlacementReason.SHARED_PROMPT);
			assertThat(this.table.acquire(item(10, false)).id()).isEqualTo(first);
		}
		assertThat(this.table.acquire(item(10, false)).id()).as("no slot").isNotEqualTo(first);
	}

	@Test
	void longItemGoesToTheFastEngineAlthoughItsGroupIsElsewhere() {
		// Long items on slow engines made 134 instead of 54 groups late.
		this.table.put(entry("slow"));
		report("slow", new ReportedLoad(0, 0, 6, 1));
		this.table.unitTime("slow", 64);
		assertThat(this.table.acquire(item(10, false)).id()).isEqualTo("slow");
		this.table.put(entry("fast"));
		this.table.unitTime("fast", 25);
		assertThat(this.table.acquire(item(100, true)).id()).isEqualTo("fast");
	}

	@Test
	void itemsThatDoNotFitIntoTheMemoryOfAnEngineWait() {
		// An engine whose memory runs out preempts the newest requests.
		this.table.services(List.of(new ServiceRule("s", "/health", 100, 0, List.of("m"), 1, 6, 2_700, null)));
		this.table.put(entry("a"));
		report("a", new ReportedLoad(0, 0, 6, 1));
		EndpointTable.Grant first = this.table.acquire(item(10, false));
		assertThat(this.table.acquire(item(10, false))).isNotNull();
		assertThat(this.table.acquire(item(10, false))).isNull();
		assertThat(this.table.explain(item(10, false)).rejected()).containsEntry("a", PlacementReason.NO_MEMORY);
		this.table.release(first, EndpointTable.Outcome.SERVED);
		this.table.peerLoad("other", Map.of("a", 1));
		assertThat(this.table.acquire(item(10, false))).as("with an item of a peer").isNull();
		this.table.peerLoad("other", Map.of());
		assertThat(this.table.acquire(item(10, false))).isNotNull();
	}

	@Test
	void runMovesOnlyIfThatCompletesItSoonerByMoreThanItCosts() {
		// Fixed ratios aborted 4,755 of 6,059 runs to migrate them.
		this.table.put(entry("here"));
		this.table.put(entry("there"));
		report("here", new ReportedLoad(1, 0, 6, 1));
		this.table.unitTime("here", 64);
		this.table.unitTime("there", 40);
		assertThat(sooner(50)).as("1.2 s less").isTrue();
		assertThat(sooner(12)).as("less than 300 ms").isFalse();
		this.table.peerLoad("other", Map.of("there", 5));
		assertThat(sooner(50)).as("fully loaded").isFalse();
	}

	@Test
	void shortSlownessIsNoReasonToMove() {
		this.table.put(entry("here"));
		this.table.put(entry("there"));
		this.table.unitTime("here", 40);
		this.table.unitTime("there", 40);
		report("here", new ReportedLoad(1, 0, 6, 2.5));
		for (int sample = 0; sample < 4; sample++) {
			this.table.unitTime("here", 100);
			this.clock.advance(100);
		}
		assertThat(this.table.isWorthMoving("here", item(50, false), 1.7)).as("rule without reports").isTrue();
		assertThat(sooner(50)).isFalse();
	}

	private boolean sooner(long events) {
		return this.table.isCompletedSoonerElsewhere("here", item(events, false), 1);
	}

	private static PlacementSimulation.Durations items(PlacementSimulation.Pace pace, int offsetMillis,
			boolean reports) {
		SplittableRandom random = new SplittableRandom(2);
		PlacementSimulation simulation = new PlacementSimulation(6, 31, pace, reports);
		while (simulation.now() < 32_000) {
			for (int host = 0; host < 3; host++) {
				if (simulation.now() % 4_000 == host * offsetMillis) {
					submitGroups(simulation, host, random);
				}
			}
			simulation.step();
		}
		return simulation.finish();
	}

	// 15 groups of 8 items; the longest texts start first, and the hints are often far
	// off.
	private static void submitGroups(PlacementSimulation simulation, int host, SplittableRandom random) {
		List<EndpointRequirements> items = new ArrayList<>();
		for (int i = 0; i < 15 * 8; i++) {
			long hint = Math.round(9 * Math.exp(random.nextDouble() * 1.8));
			items.add(item(hint, host + "/" + simulation.now() + "/" + i / 8, false));
		}
		items.sort(Comparator.comparingLong((item) -> -item.work().expectedEvents()));
		items.forEach((item) -> simulation.submit(host, item,
				PlacementSimulation.EVENT_MILLIS * item.work().expectedEvents() * Math.exp(random.nextDouble() - 0.5)));
	}

	private static EndpointRequirements item(long events, boolean last) {
		return item(events, "g", last);
	}

	private static EndpointRequirements item(long events, String group, boolean last) {
		return new EndpointRequirements(RequestOrigin.ITEM, "s", "m", 0, 0, true, Set.of(),
				new ItemWork(1_016, 1_000, 1_200, events, group, last));
	}

	private void report(String id, ReportedLoad load) {
		this.table.onLoadReported(new EndpointTable.Grant(id, "10.0.0.1:80", "zone-a", 1, 0, Double.POSITIVE_INFINITY),
				load);
	}

	private static PlacementSimulation.Durations plain(int hosts, int endpoints, double work,
			PlacementSimulation.Pace pace, boolean reports) {
		SplittableRandom random = new SplittableRandom(1);
		PlacementSimulation simulation = new PlacementSimulation(hosts, endpoints, pace, reports);
		// About half of the capacity at the usual pace.
		double perStep = 0.5 * endpoints * 6 * PlacementSimulation.STEP_MILLIS / work;
		while (simulation.now() < 30_000) {
			for (double left = perStep; random.nextDouble() < left; left--) {
				simulation.submit(random.nextInt(hosts), PLAIN, work);
			}
			if (simulation.now() == 15_000) {
				simulation.restart(0);
			}
			simulation.step();
		}
		return simulation.finish();
	}

	private static EndpointEntry entry(String id) {
		return new EndpointEntry(id, "s", "10.0.0.1:80", "zone-a", 6, false, 0, 1, Map.of());
	}

}
