package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.core.version.ServiceId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against scaling plans that exceed the spending limit, oscillate or send
 * interactive requests to cheap endpoints, against weight updates that swap too many
 * endpoints concurrently, and against a domain without a reader.
 */
class ScalingAndWeightUpdateTests {

	private static final ServiceId SERVICE = ServiceId.of("modelo-huerto");

	private static final LineId LINE = LineId.of("cartas");

	private final ScalingPlan plan = ScalingPlan.of(ScalingPlan.Tuning.standard());

	private final RollingWeightUpdate waves = RollingWeightUpdate.of(() -> 0.5);

	@Test
	void demandStartsEndpointsAfterTheDelayWithinTheSpendingLimit() {
		assertThat(this.plan.decide(view(List.of(endpoint("a", 40)), 0.5, 9, 30), 0)).isEmpty();
		assertThat(this.plan.decide(view(List.of(endpoint("a", 40)), 0.5, 9, 30), 3_000))
			.extracting(ScalingPlan.ScalingOrder::kind)
			.containsExactly("steady", "cheap");
		ScalingPlan smallBudget = ScalingPlan.of(ScalingPlan.Tuning.standard());
		smallBudget.decide(view(List.of(endpoint("a", 40)), 0, 9, 3), 0);
		assertThat(smallBudget.decide(view(List.of(endpoint("a", 40)), 0, 9, 3), 3_000)).isEmpty();
	}

	@Test
	void nonRepeatableWorkStartsOnlySteadyEndpoints() {
		this.plan.decide(view(List.of(), 0, 9, 30), 0);
		assertThat(this.plan.decide(view(List.of(endpoint("a", 40)), 0, 9, 30), 3_000))
			.extracting(ScalingPlan.ScalingOrder::kind)
			.containsOnly("steady");
	}

	@Test
	void idleEndpointStopsAfterDelayAndBilledTimeAndTheMinimumIsKept() {
		List<ScalingPlan.EndpointView> idle = List.of(endpoint("a", 0), endpoint("b", 0));
		for (long now = 0; now < 300_000; now += 1_000) {
			assertThat(this.plan.decide(view(idle, 0, 9, 30), now)).isEmpty();
		}
		assertThat(this.plan.decide(view(idle, 0, 9, 30), 300_000)).hasSize(1);
		for (long now = 301_000; now < 900_000; now += 1_000) {
			assertThat(this.plan.decide(view(idle.subList(0, 1), 0, 9, 30), now)).isEmpty();
		}
	}

	@Test
	void unavailableKindIsReportedAsShortageAndOrderedAgainAfterADelay() {
		ScalingPlan.ServiceView view = view(List.of(endpoint("a", 40)), 0.5, 9, 30);
		this.plan.decide(view, 0);
		this.plan.decide(view, 3_000);
		this.plan.onUnavailable(SERVICE, "cheap", 3_000);
		assertThat(this.plan.decide(view, 4_000)).extracting(ScalingPlan.ScalingOrder::kind).doesNotContain("cheap");
		assertThat(this.plan.shortages(4_000, 4_000)).singleElement()
			.satisfies((shortage) -> assertThat(shortage.kind()).isEqualTo("cheap"));
		assertThat(this.plan.decide(view, 33_000)).extracting(ScalingPlan.ScalingOrder::kind).contains("cheap");
	}

	@Test
	void allDomainsTogetherSwapAtMostAThirdOfTheEndpoints() {
		for (long wall = 0; wall < 200_000; wall += 500) {
			for (int total = 1; total < 30; total++) {
				int sum = 0;
				for (int index = 0; index < 3; index++) {
					sum += RollingWeightUpdate.allowedSwaps(total, 3, index, wall);
				}
				assertThat(sum).isLessThanOrEqualTo(Math.max(1, total / 3));
			}
		}
	}

	@Test
	void swapWithoutReportedVersionIsRetriedUntilAllEndpointsAreCurrent() {
		long[] versions = { 11, 11, 11 };
		Set<Integer> failures = new HashSet<>();
		for (long now = 0; now < 60_000; now += 500) {
			List<RollingWeightUpdate.Swap> swaps = this.waves.decide(weights(versions, false), now);
			assertThat(swaps).hasSizeLessThanOrEqualTo(1);
			for (RollingWeightUpdate.Swap swap : swaps) {
				failures.add(swap.failures());
				// The first two orders are accepted but have no effect.
				if (failures.size() > 2 || !swap.endpoint().value().equals("e0")) {
					versions[Integer.parseInt(swap.endpoint().value().substring(1))] = 12;
				}
			}
		}
		assertThat(versions).containsOnly(12);
		assertThat(failures).contains(0, 1, 2);
	}

	@Test
	void baselineSwapsAllEndpointsAtOnce() {
		assertThat(this.waves.decide(weights(new long[] { 11, 11, 11 }, true), 0)).hasSize(3);
	}

	@Test
	void anotherHostBecomesReaderWhenAReaderFails() {
		FailureDomain domain = FailureDomain.of("gt-centro-a");
		List<HostId> hosts = List.of(HostId.of("a"), HostId.of("b"), HostId.of("c"));
		List<HostId> readers = ConfigurationReaders.readers(domain, hosts);
		List<HostId> remainingHosts = new ArrayList<>(hosts);
		remainingHosts.remove(readers.get(0));
		assertThat(readers).hasSize(2);
		assertThat(ConfigurationReaders.readers(domain, remainingHosts))
			.containsExactlyInAnyOrderElementsOf(remainingHosts);
		assertThat(ConfigurationReaders.isReader(domain, List.of(), hosts.get(0))).isTrue();
	}

	private static ScalingPlan.EndpointView endpoint(String name, int running) {
		return new ScalingPlan.EndpointView(EndpointId.of(name), false, false, running, 0, 0);
	}

	private static ScalingPlan.ServiceView view(List<ScalingPlan.EndpointView> endpoints, double repeatable,
			int maxEndpoints, double maxCost) {
		Inventory.ServiceEntry service = new Inventory.ServiceEntry(SERVICE, Inventory.ServiceKind.MODEL, 3, 20, 5_000,
				true, List.of(), List.of());
		return new ScalingPlan.ServiceView(service,
				Optional.of(new Rules.SpendingRule(SERVICE, maxEndpoints, maxCost, 1)), false, repeatable, 3, 0, 1,
				endpoints, 0, 0, 0, 0);
	}

	private static RollingWeightUpdate.DomainView weights(long[] versions, boolean allAtOnce) {
		List<RollingWeightUpdate.EndpointView> endpoints = new ArrayList<>();
		for (int i = 0; i < versions.length; i++) {
			endpoints
				.add(new RollingWeightUpdate.EndpointView(EndpointId.of("e" + i), SERVICE, Map.of(LINE, versions[i])));
		}
		return new RollingWeightUpdate.DomainView(endpoints, Map.of(SERVICE, Map.of(LINE, 12L)), Map.of(SERVICE, 1), 2,
				allAtOnce);
	}

}
