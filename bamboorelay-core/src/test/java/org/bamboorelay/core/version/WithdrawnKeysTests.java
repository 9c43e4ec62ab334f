package org.bamboorelay.core.version;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a withdrawn key that is accepted again.
 */
class WithdrawnKeysTests {

	@Test
	void addReturnsNewHashesAndKeepsOldOnes() {
		WithdrawnKeys keys = new WithdrawnKeys();
		KeyHash first = KeyHash.ofKey("first");
		KeyHash second = KeyHash.ofKey("second");
		assertThat(keys.add(List.of(first))).containsExactly(first);
		assertThat(keys.add(List.of(first, second))).containsExactly(second);
		assertThat(keys.add(List.of())).isEmpty();
		assertThat(keys.all()).containsExactlyInAnyOrder(first, second);
		assertThat(keys.contains(first)).isTrue();
	}

}
