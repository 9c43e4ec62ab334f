package org.bamboorelay.slopes.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.UsageFigures;
import org.bamboorelay.core.process.UsageParts;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.entry.process.UsageTable;
import org.bamboorelay.runtime.connection.PeerCodec;

/**
 * Costs of usage accounting by the number of workspaces that use one service.
 * <p>
 * Stateless.
 */
final class UsageSlopes {

	private static final int[] WORKSPACES = { 8, 64, 200, 800 };

	private UsageSlopes() {
	}

	static List<Slope> measure() {
		List<Slope> slopes = new ArrayList<>();
		slopes.add(Slope.measure("usage.counters", "B", "workspaces", WORKSPACES,
				(workspaces) -> PeerCodec.encode(1, SampleData.usage(workspaces)).length));
		slopes.add(Slope.measure("usage.answer", "us", "workspaces", WORKSPACES, (workspaces) -> {
			UsageTable table = UsageTable.of("incarnation");
			for (int i = 0; i < workspaces; i++) {
				table.recordUsage(SampleData.workspace(i), SampleData.service(0), 100);
			}
			return CostMeter.cpuMicros(() -> PeerCodec.encode(-1, table.counters(new PeerMessage.UsagePull(0))));
		}));
		slopes.add(Slope.measure("usage.decode", "us", "workspaces", WORKSPACES, (workspaces) -> {
			byte[] frame = PeerCodec.encode(-1, SampleData.usage(workspaces));
			return CostMeter.cpuMicros(() -> PeerSlopes.decode(frame));
		}));
		slopes.add(Slope.measure("usage.sum-of-8-domains", "us", "workspaces", WORKSPACES, (workspaces) -> {
			List<List<PeerMessage.UsageCount>> parts = Collections.nCopies(SampleData.DOMAINS,
					SampleData.usage(workspaces).counts());
			return CostMeter.cpuMicros(() -> UsageFigures.sum(parts));
		}));
		// At 200 workspaces the usage part of 45 hosts would exceed the size limit.
		int[] fewer = { 8, 16, 32, 64 };
		slopes.add(Slope.measure("usage.part-of-45-hosts", "B", "workspaces", fewer, (workspaces) -> {
			CountingStore store = new CountingStore();
			checkpoint(store, workspaces);
			return store.calls().get("usage").largestBytes();
		}));
		slopes.add(Slope.measure("usage.checkpoint-of-45-hosts", "us", "workspaces", fewer,
				(workspaces) -> CostMeter.cpuMicros(() -> checkpoint(new CountingStore(), workspaces))));
		return slopes;
	}

	private static void checkpoint(CountingStore store, int workspaces) {
		ManualClock clock = ManualClock.of(1_000_000);
		UsageParts parts = UsageParts.of(SampleData.domain(0), "holder", clock, (fencing) -> true, () -> 0.5);
		parts.beginTerm(1);
		parts.onTick(clock.millis(), 60_000, 5_000);
		StoreSlopes.runOperations(parts, store);
		StoreSlopes.applyCounters(parts, workspaces);
		clock.advance(10_000);
		StoreSlopes.runOperations(parts, store);
	}

}
