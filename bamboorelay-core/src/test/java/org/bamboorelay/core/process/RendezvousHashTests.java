package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.bamboorelay.core.version.HostId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two processes that choose different owners for one endpoint, and against
 * owners that all change when one host leaves.
 */
class RendezvousHashTests {

	private final List<HostId> hosts = IntStream.range(0, 6).mapToObj((i) -> HostId.of("host-" + i)).toList();

	@Test
	void orderOfHostsDoesNotMatter() {
		List<HostId> reversed = new ArrayList<>(this.hosts);
		java.util.Collections.reverse(reversed);
		assertThat(RendezvousHash.choose("engine-1", reversed, 2))
			.isEqualTo(RendezvousHash.choose("engine-1", this.hosts, 2));
	}

	@Test
	void onlyKeysOfALostHostMove() {
		HostId lost = this.hosts.get(3);
		List<HostId> rest = this.hosts.stream().filter((host) -> !host.equals(lost)).toList();
		for (int i = 0; i < 1_000; i++) {
			HostId before = RendezvousHash.owner("engine-" + i, this.hosts).get();
			HostId after = RendezvousHash.owner("engine-" + i, rest).get();
			assertThat(after.equals(before) || before.equals(lost)).isTrue();
		}
	}

	@Test
	void keysAreSpreadEvenly() {
		long owned = IntStream.range(0, 6_000)
			.filter((i) -> RendezvousHash.owner("engine-" + i, this.hosts).get().equals(this.hosts.get(0)))
			.count();
		assertThat(owned).isBetween(850L, 1_150L);
	}

	@Test
	void noHostsMeansNoOwner() {
		assertThat(RendezvousHash.owner("engine-1", List.<HostId>of())).isEmpty();
	}

}
