package org.bamboorelay.core.process;

import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.bamboorelay.core.request.RequestOrigin;
import org.bamboorelay.core.time.ManualClock;
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
