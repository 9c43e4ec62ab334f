package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.Map;

import org.bamboorelay.core.time.ManualClock;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ModelDemand} with two models, one of which has texts twice as long.
 */
class ModelDemandTests {

	private static final long OBSERVATION_INTERVAL_MILLIS = 40;

	private final ManualClock clock = ManualClock.of(1_000);

	private final ModelDemand demand = ModelDemand.of(this.clock);

	@Test
	void modelWithLongerTextsGetsMoreEngines() {
		// With equal shares the items of one model waited for slots while half of the
		// slots of the other model were free.
		Map<String, Integer> engines = play(Map.of("short", 7, "long", 17), Map.of("short", 6, "long", 6), 60_000);
		assertThat(engines).isEqualTo(Map.of("short", 4, "long", 8));
	}

	@Test
	void equalDemandChangesNothing() {
		Map<String, Integer> engines = Map.of("a", 6, "b", 6);
		assertThat(play(Map.of("a", 10, "b", 11), engines, 60_000)).isEqualTo(engines);
		assertThat(play(Map.of("a", 0, "b", 0), engines, 60_000)).isEqualTo(engines);
	}

	@Test
	void modelKeepsAnEngineToServeWhileAnotherOneLoads() {
		assertThat(play(Map.of("idle", 0, "busy", 60), Map.of("idle", 4, "busy", 4), 60_000))
			.isEqualTo(Map.of("idle", 2, "busy", 6));
	}

	@Test
	void firstBurstChangesNothing() {
		Map<String, Integer> engines = Map.of("a", 6, "b", 6);
		assertThat(play(Map.of("a", 60, "b", 0), engines, ModelDemand.AVERAGING_MILLIS - 100)).isEqualTo(engines);
	}

	private Map<String, Integer> play(Map<String, Integer> running, Map<String, Integer> initial, long millis) {
		Map<String, Integer> engines = new HashMap<>(initial);
		for (long time = 0; time < millis; time += OBSERVATION_INTERVAL_MILLIS) {
			this.clock.advance(OBSERVATION_INTERVAL_MILLIS);
			ModelDemand.Change change = this.demand.next(running, engines);
			if (change != null) {
				engines.merge(change.from(), -1, Integer::sum);
				engines.merge(change.to(), 1, Integer::sum);
			}
		}
		return engines;
	}

}
