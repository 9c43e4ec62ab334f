package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link StatusRoutes}.
 */
class StatusRoutesTests {

	@Test
	void messagesPerRoundGrowLinearlyWithTheHosts() {
		// Guards against a full mesh in a large deployment. Under light load at 57 hosts,
		// sending each status to all other hosts took most of the processor time.
		for (int count : new int[] { 57, 300, 360 }) {
			Map<String, String> hosts = hosts(count);
			long messages = hosts.keySet()
				.stream()
				.mapToLong((self) -> hosts.keySet()
					.stream()
					.filter((other) -> !other.equals(self))
					.filter(StatusRoutes.of(self, hosts, Map.of(), Set.of())::sendsTo)
					.count())
				.sum();
			assertThat(messages).isLessThanOrEqualTo(2L * 3 * count);
		}
	}

	@Test
	void smallDeploymentUsesAFullMesh() {
		Map<String, String> hosts = hosts(StatusRoutes.MAX_FULL_MESH_HOSTS);
		StatusRoutes routes = StatusRoutes.of("host-0", hosts, Map.of(), Set.of());
		assertThat(hosts.keySet()).allMatch(routes::sendsTo).allMatch(routes::needsUsageCounts);
		assertThat(routes.mayHoldDuties()).isTrue();
	}

	@Test
	void hostsOfALargeDeploymentSendToAllRelays() {
		Map<String, String> hosts = hosts(40);
		Set<String> relays = StoreWatchers.of(hosts);
		hosts.keySet().forEach((self) -> {
			StatusRoutes routes = StatusRoutes.of(self, hosts, Map.of(), Set.of());
			assertThat(relays).allMatch((relay) -> relay.equals(self) || routes.sendsTo(relay));
			assertThat(routes.isRelay()).isEqualTo(relays.contains(self));
			assertThat(routes.mayHoldDuties()).isEqualTo(relays.contains(self));
		});
	}

	@Test
	void holderOfDutiesReceivesUsageCountsWithoutBeingARelay() {
		Map<String, String> hosts = hosts(40);
		String holder = hosts.keySet()
			.stream()
			.filter((host) -> !StoreWatchers.of(hosts).contains(host))
			.findFirst()
			.orElseThrow();
		hosts.keySet()
			.forEach((
					self) -> assertThat(StatusRoutes.of(self, hosts, Map.of(), Set.of(holder)).needsUsageCounts(holder))
						.isTrue());
	}

	private static Map<String, String> hosts(int count) {
		Map<String, String> hosts = new HashMap<>();
		for (int index = 0; index < count; index++) {
			hosts.put("host-" + index, "domain-" + index % 3);
		}
		return hosts;
	}

}
