package org.bamboorelay.core.request;

import java.util.List;

import org.bamboorelay.core.version.EndpointId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the retry delay of {@link StepState}: after a sample was too old, the delay
 * must not grow if another endpoint has current weights, and must grow if none has.
 */
class StepStateTests {

	private static final StalenessBound BOUND = new StalenessBound(1);

	private final StepState state = StepState.of(new StepPlan(List.of(10L), 2),
			new StepState.Settings(BOUND, 8, true, 2));

	@Test
	void retryDelayDoesNotGrowWhenAnotherEndpointHasCurrentWeights() {
		this.state.on(new StepState.Event.NewVersion(5, BOUND));
		label(1, 5);
		assertThat(delayAfterTooOld(2)).isEqualTo(50);
		assertThat(delayAfterTooOld(3)).isEqualTo(50);
		assertThat(delayAfterTooOld(4)).isEqualTo(50);
	}

	@Test
	void retryDelayGrowsWhenNoEndpointHasCurrentWeights() {
		this.state.on(new StepState.Event.NewVersion(5, BOUND));
		// An attempt without tokens gives no information about the weights.
		label(1, Long.MAX_VALUE);
		assertThat(delayAfterTooOld(2)).isEqualTo(50);
		assertThat(delayAfterTooOld(3)).isEqualTo(100);
		label(1, 5);
		this.state.on(new StepState.Event.NewVersion(6, BOUND));
		assertThat(delayAfterTooOld(4)).isEqualTo(200);
	}

	private List<StepState.Action> label(long attempt, long oldest) {
		this.state.on(new StepState.Event.Started(attempt, EndpointId.of("engine-" + attempt), 0));
		return this.state.on(new StepState.Event.Labelled(attempt, oldest));
	}

	private long delayAfterTooOld(long attempt) {
		return label(attempt, 1).stream()
			.filter(StepState.Action.Start.class::isInstance)
			.map(StepState.Action.Start.class::cast)
			.findFirst()
			.orElseThrow()
			.delayMillis();
	}

}
