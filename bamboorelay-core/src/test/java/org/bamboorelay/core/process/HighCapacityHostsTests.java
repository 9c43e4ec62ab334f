package org.bamboorelay.core.process;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link HighCapacityHosts}.
 */
class HighCapacityHostsTests {

	@Test
	void hostsWithLessThanHalfOfTheLargestCapacityAreNotSelected() {
		// Guards against submissions on hosts with little processor capacity. Submissions
		// of 100 streams failed on hosts with a third of a core.
		assertThat(HighCapacityHosts.of(Map.of("a", 1.5, "b", 0.36, "c", 0.75))).containsExactlyInAnyOrder("a", "c");
		assertThat(HighCapacityHosts.of(Map.of("a", 0.75, "b", 0.75))).hasSize(2);
		assertThat(HighCapacityHosts.of(Map.of("a", 0.0))).containsExactly("a");
	}

	@Test
	void hostsAreComparedWithinTheirDomain() {
		assertThat(HighCapacityHosts.inEachDomain(Map.of("a", 1.5, "b", 0.36, "c", 0.36),
				Map.of("a", "d1", "b", "d1", "c", "d2")))
			.isEqualTo(Map.of("a", "d1", "c", "d2"));
	}

}
