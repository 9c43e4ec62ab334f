package org.bamboorelay.slopes.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.bamboorelay.core.process.UsageParts;
import org.bamboorelay.core.request.BatchRecord;
import org.bamboorelay.core.request.DeliveryState;
import org.bamboorelay.core.request.SampleSlot;
import org.bamboorelay.core.request.StalenessBound;
import org.bamboorelay.core.request.StepPlan;
import org.bamboorelay.core.request.StepState;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.LiveConfiguration;
import org.bamboorelay.entry.process.UsageTable;

/**
 * Memory use by the number of endpoints, workspaces, running requests, peers, keys and
 * samples.
 * <p>
 * Stateless.
 */
final class StateSlopes {

	private static final int[] SIZES = { 1_000, 4_000, 16_000 };

	private StateSlopes() {
	}

	static List<Slope> measure() {
		List<Slope> slopes = new ArrayList<>();
		slopes.add(Slope.measure("state.endpoints", "B", "endpoints", new int[] { 825, 3_300, 6_600 },
				(endpoints) -> CostMeter.retainedBytes(() -> new EndpointSlopes.CreditServiceFixture(endpoints, 45))));
		slopes.add(Slope.measure("state.owned-endpoints", "B", "endpoints", new int[] { 825, 3_300, 6_600 },
				(endpoints) -> CostMeter.retainedBytes(() -> new EndpointSlopes.CreditServiceFixture(endpoints, 1))));
		slopes.add(Slope.measure("state.running-requests", "B", "requests", SIZES,
				(requests) -> CostMeter.retainedBytes(() -> {
					EndpointSlopes.CreditServiceFixture world = new EndpointSlopes.CreditServiceFixture(1_200, 1);
					List<Object> retained = new ArrayList<>(List.of(world));
					for (int i = 0; i < requests; i++) {
						retained.add(world.acquire());
					}
					return retained;
				})));
		slopes.add(Slope.measure("state.peers", "B", "peers", new int[] { 90, 360, 1_440 },
				(peers) -> CostMeter.retainedBytes(() -> PeerSlopes.membership(peers))));
		slopes.add(Slope.measure("state.workspaces", "B", "workspaces", SIZES,
				(workspaces) -> CostMeter.retainedBytes(() -> {
					UsageTable usage = UsageTable.of("incarnation");
					for (int i = 0; i < workspaces; i++) {
						usage.recordUsage(SampleData.workspace(i), SampleData.service(0), 100);
					}
					return List.of(usage, configured(6, workspaces, 0));
				})));
		slopes.add(Slope.measure("state.keys", "B", "keys", SIZES,
				(keys) -> CostMeter.retainedBytes(() -> configured(6, 8, keys))));
		slopes.add(Slope.measure("state.step-samples", "B", "samples", new int[] { 1_024, 4_096, 8_192 },
				(samples) -> CostMeter.retainedBytes(() -> step(samples))));
		slopes.add(Slope.measure("state.usage-part", "B", "workspaces", new int[] { 25, 50, 100, 200 },
				(workspaces) -> CostMeter.retainedBytes(() -> usagePart(workspaces))));
		return slopes;
	}

	private static LiveConfiguration configured(int hosts, int workspaces, int keys) {
		ManualClock clock = ManualClock.of(0);
		LiveConfiguration live = LiveConfiguration.of(clock, (domains) -> true);
		live.accept(SampleData.configuration(1, hosts, workspaces, keys), 0);
		clock.advance(1_000);
		live.tick();
		return live;
	}

	private static Object step(int samples) {
		StepPlan plan = new StepPlan(new ArrayList<>(Collections.nCopies(samples / 8, 400L)), 8);
		StepState state = StepState.of(plan, new StepState.Settings(new StalenessBound(2), 128, true, samples / 10));
		DeliveryState delivery = DeliveryState.of(samples, 1);
		for (SampleSlot slot : plan.startOrder()) {
			delivery.ready(new BatchRecord.Entry("sample-" + slot.group() + "-" + slot.index(), slot, 1, 400, 4_000,
					List.of(SampleData.host(0), SampleData.host(1))));
		}
		return List.of(plan, state, delivery);
	}

	private static Object usagePart(int workspaces) {
		ManualClock clock = ManualClock.of(1_000_000);
		CountingStore store = new CountingStore();
		UsageParts parts = UsageParts.of(SampleData.domain(0), "holder", clock, (fencing) -> true, () -> 0.5);
		parts.beginTerm(1);
		parts.onTick(clock.millis(), 60_000, 5_000);
		StoreSlopes.runOperations(parts, store);
		parts.onTick(clock.millis(), 60_000, 5_000);
		StoreSlopes.applyCounters(parts, workspaces);
		return parts;
	}

}
