package org.bamboorelay.core.process;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.bamboorelay.core.request.RequestOrigin;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.ServiceRule;

/**
 * Measures the time to choose an endpoint and to release it, for several numbers of
 * endpoints, with and without reported load and for items. 60 peers report their load.
 */
public final class EndpointTableBenchmark {

	private static final int ROUNDS = 20_000;

	private static final int PEERS = 60;

	private static final int SLOTS = 8;

	private EndpointTableBenchmark() {
	}

	/**
	 * Measures each number of endpoints twice and prints a line for each measurement; the
	 * first one of each pair is the warm-up.
	 * @param args none
	 */
	public static void main(String[] args) {
		EndpointRequirements plain = EndpointRequirements.plain(RequestOrigin.CALLER, "s", Set.of());
		EndpointRequirements item = new EndpointRequirements(RequestOrigin.ITEM, "s", "m", 1, 0, true, Set.of(),
				new ItemWork(1_016, 1_000, 1_200, 20, "g", false));
		for (int size : new int[] { 32, 250, 1_000, 4_000 }) {
			for (int round = 0; round < 2; round++) {
				measure("estimated", size, plain, false);
				measure("reported", size, plain, true);
				measure("item", size, item, true);
			}
		}
	}

	private static void measure(String name, int size, EndpointRequirements requirements, boolean reports) {
		ManualClock clock = ManualClock.of(10_000);
		SplittableRandom random = new SplittableRandom(size);
		EndpointTable table = EndpointTable.create(clock, random);
		table.services(List.of(new ServiceRule("s", "/health", 100, 0, List.of("m"), 1, 6, 60_000, null)));
		for (int i = 0; i < size; i++) {
			String id = "endpoint-" + i;
			table.put(new EndpointEntry(id, "s", "10.0.0.1:80", "zone-a", SLOTS, false, 0, 1, Map.of("m", 1L)));
			table.unitTime(id, 25 + random.nextInt(50));
			if (reports) {
				table.onLoadReported(new EndpointTable.Grant(id, "10.0.0.1:80", "zone-a", 1, 0, 0),
						new ReportedLoad(random.nextInt(SLOTS), 0, SLOTS, 0.5 + 2 * random.nextDouble()));
			}
		}
		for (int peer = 0; peer < PEERS; peer++) {
			table.peerLoad("host-" + peer, Map.of("endpoint-" + random.nextInt(size), 1));
		}
		long[] nanos = new long[ROUNDS];
		for (int i = 0; i < ROUNDS; i++) {
			long start = System.nanoTime();
			EndpointTable.Grant grant = table.acquire(requirements);
			table.release(grant, EndpointTable.Outcome.SERVED);
			nanos[i] = System.nanoTime() - start;
		}
		Arrays.sort(nanos);
		System.out.printf("%s endpoints=%d p50=%d ns p99=%d ns%n", name, size, nanos[ROUNDS / 2],
				nanos[ROUNDS / 100 * 99]);
	}

}
