package org.bamboorelay.core.request;

import java.util.List;

import org.bamboorelay.core.version.EndpointId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against samples that wait longer and longer after endpoints with old weights
 * although others have new ones, and against samples that ask again and again where none
 * has.
 */
class StepStateTests {

	private static final StalenessBound BOUND = new StalenessBound(1);

	private final StepState state = StepState.of(new StepPlan(List.of(10L), 2),
			new StepState.Settings(BOUND, 8, true, 2));

	@Test
	void sampleThatWasTooOldIsRetriedSoonWhereAnotherEndpointHasNewWeights() {
		this.state.on(new StepState.Event.NewVersion(5, BOUND));
		label(1, 5);
		assertThat(tooOld(2)).isEqualTo(50);
		assertThat(tooOld(3)).isEqualTo(50);
		assertThat(tooOld(4)).isEqualTo(50);
	}

	@Test
	void sampleThatWasTooOldWaitsLongerWhereNoEndpointHasNewWeights() {
		this.state.on(new StepState.Event.NewVersion(5, BOUND));
		// An attempt without a token says nothing of its endpoint.
		label(1, Long.MAX_VALUE);
		assertThat(tooOld(2)).isEqualTo(50);
		assertThat(tooOld(3)).isEqualTo(100);
		label(1, 5);
		this.state.on(new StepState.Event.NewVersion(6, BOUND));
		assertThat(tooOld(4)).isEqualTo(200);
	}

	private List<StepState.Action> label(long attempt, long oldest) {
		this.state.on(new StepState.Event.Started(attempt, EndpointId.of("engine-" + attempt), 0));
		return this.state.on(new StepState.Event.Labelled(attempt, oldest));
	}

	private long tooOld(long attempt) {
		return label(attempt, 1).stream()
			.filter(StepState.Action.Start.class::isInstance)
			.map(StepState.Action.Start.class::cast)
			.findFirst()
			.orElseThrow()
			.delayMillis();
	}

}
