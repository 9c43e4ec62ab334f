package org.bamboorelay.entry.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against samples that are delivered twice, lost or labelled wrongly when hosts,
 * engines and the store fail.
 */
class RolloutRoutesTests {

	@Test
	void stepIsDeliveredInBatchesAndEnds() {
		RolloutWorld world = new RolloutWorld("a-1", "b-1");
		RolloutWorld.Host host = world.hosts.get("a-1");
		assertThat(host.post("cartas", 1, RolloutWorld.step(2, 2)).status()).isEqualTo(202);
		assertThat(host.fetch("cartas", 1, 0, 3, 1).status()).isEqualTo(202);
		world.runTasks();
		RolloutWorld.Reply first = host.fetch("cartas", 1, 0, 3, 1);
		assertThat(first.status()).isEqualTo(200);
		assertThat(first.slots()).containsExactly("0.0", "0.1", "1.0");
		assertThat(first.body().at("/samples/0/spans/0/version").asText()).isEqualTo("cartas@1");
		assertThat(host.fetch("cartas", 1, 1, 3, 1).slots()).containsExactly("1.1");
		assertThat(host.fetch("cartas", 1, 2, 3, 1).status()).isEqualTo(204);
		assertThat(world.served).containsExactly(2L, 2L, 2L, 2L);
	}

}
