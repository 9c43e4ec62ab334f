package org.bamboorelay.load.process;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against a fairness measure that reports a workspace with little demand as
 * starved, or misses one displaced by the load of another.
 */
class FairShareTests {

	private static final double TOLERANCE = 1e-9;

	@Test
	void whenAllDemandsExceedSharesCapacityIsDividedByWeight() {
		Map<String, Double> shares = FairShare.of(100, Map.of("a", 1_000.0, "b", 1_000.0), Map.of("a", 3, "b", 1));
		assertThat(shares.get("a")).isCloseTo(75, within(TOLERANCE));
		assertThat(shares.get("b")).isCloseTo(25, within(TOLERANCE));
	}

	@Test
	void whenDemandIsBelowShareRemainderGoesToOthers() {
		Map<String, Double> shares = FairShare.of(100, Map.of("a", 10.0, "b", 1_000.0, "c", 40.0),
				Map.of("a", 1, "b", 1, "c", 1));
		assertThat(shares.get("a")).isCloseTo(10, within(TOLERANCE));
		assertThat(shares.get("c")).isCloseTo(40, within(TOLERANCE));
		assertThat(shares.get("b")).isCloseTo(50, within(TOLERANCE));
	}

	@Test
	void whenOneWorkspaceFloodsWorstServedIsTheOther() {
		FairShare.WorstServed worst = FairShare.worst(Map.of("flood", 90.0, "small", 10.0),
				Map.of("flood", 1_000.0, "small", 40.0), Map.of("flood", 1, "small", 1));
		assertThat(worst.workspace()).isEqualTo("small");
		assertThat(worst.ratio()).isCloseTo(0.25, within(TOLERANCE));
	}

	@Test
	void whenAllDemandIsServedWorstRatioIsOne() {
		assertThat(FairShare.worst(Map.of("a", 5.0, "b", 7.0), Map.of("a", 5.0, "b", 7.0), Map.of()).ratio())
			.isCloseTo(1, within(TOLERANCE));
	}

}
