package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link StoreWatchers}.
 */
class StoreWatchersTests {

	@Test
	void numberOfWatchersDoesNotGrowWithTheHosts() {
		// Guards against a watch at each host. At 57 hosts under light load, watches of
		// all hosts cost most of what the service earned in a day.
		for (int hosts : new int[] { 6, 57, 360 }) {
			assertThat(StoreWatchers.of(hosts(hosts, 3))).hasSize(3);
		}
	}

	@Test
	void eachDomainHasAWatcherAndFewDomainsHaveFurtherOnes() {
		Map<String, String> hosts = hosts(40, 8);
		assertThat(StoreWatchers.of(hosts).stream().map(hosts::get)).containsExactlyInAnyOrder("d0", "d1", "d2", "d3",
				"d4", "d5", "d6", "d7");
		assertThat(StoreWatchers.of(hosts(10, 1))).hasSize(3);
	}

	@Test
	void removedWatcherIsReplaced() {
		Map<String, String> hosts = hosts(12, 3);
		Set<String> before = StoreWatchers.of(hosts);
		hosts.remove(before.iterator().next());
		assertThat(StoreWatchers.of(hosts)).hasSize(3);
	}

	private static Map<String, String> hosts(int count, int domains) {
		Map<String, String> hosts = new HashMap<>();
		for (int index = 0; index < count; index++) {
			hosts.put("host-" + index, "d" + index % domains);
		}
		return hosts;
	}

}
