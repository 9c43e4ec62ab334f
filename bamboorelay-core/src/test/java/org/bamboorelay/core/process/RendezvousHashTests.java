package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;

import org.bamboorelay.core.version.HostId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against two processes that compute different owners for one endpoint, and
 * against a change of all owners when one host leaves.
 */
class RendezvousHashTests {

	private final List<HostId> hosts = IntStream.range(0, 6).mapToObj((i) -> HostId.of("host-" + i)).toList();

	@Test
	void rankingDoesNotDependOnTheOrderOfHosts() {
		List<HostId> reversed = new ArrayList<>(this.hosts);
		Collections.reverse(reversed);
		assertThat(RendezvousHash.ranked("engine-1", reversed))
			.isEqualTo(RendezvousHash.ranked("engine-1", this.hosts));
	}

	@Test
	void onlyKeysOfARemovedHostMove() {
		HostId removed = this.hosts.get(3);
		List<HostId> remainingHosts = this.hosts.stream().filter((host) -> !host.equals(removed)).toList();
		for (int i = 0; i < 1_000; i++) {
			HostId before = RendezvousHash.owner("engine-" + i, this.hosts);
			HostId after = RendezvousHash.owner("engine-" + i, remainingHosts);
			assertThat(after.equals(before) || before.equals(removed)).isTrue();
		}
	}

	@Test
	void keysAreDistributedEvenly() {
		long owned = IntStream.range(0, 6_000)
			.filter((i) -> RendezvousHash.owner("engine-" + i, this.hosts).equals(this.hosts.get(0)))
			.count();
		assertThat(owned).isBetween(850L, 1_150L);
	}

	@Test
	void emptyHostsAreRejectedWithTheKeyInTheMessage() {
		assertThatIllegalArgumentException().isThrownBy(() -> RendezvousHash.owner("engine-1", List.of()))
			.withMessageContaining("engine-1");
	}

}
