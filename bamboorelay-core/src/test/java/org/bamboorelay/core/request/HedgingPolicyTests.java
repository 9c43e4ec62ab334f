package org.bamboorelay.core.request;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.bamboorelay.core.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests of {@link HedgingPolicy} on a {@link HedgingModel}: copies must shorten the tail,
 * and must neither exceed their budget nor take slots that other requests need.
 */
class HedgingPolicyTests {

	private static final double BUDGET = 0.1;

	/** Copies that the budget of a service accumulates. */
	private static final int BURST = 10;

	/** Arrivals per millisecond that occupy half of the slots of the model. */
	private static final double HALF_LOAD = 0.8;

	@Test
	void copiesShortenTheTailWhenATenthOfTheEndpointsIsSlow() {
		assertTailIsShorter((endpoint, now) -> (endpoint == 0) ? 10 : 1);
	}

	@Test
	void copiesShortenTheTailWhenAnEndpointIsSlowForAShortTime() {
		assertTailIsShorter((endpoint, now) -> (endpoint == now / 600 % 10 && now % 600 < 400) ? 10 : 1);
	}

	@Test
	void fullServiceGetsNoCopies() {
		HedgingModel.Figures without = HedgingModel.run(0, 0.99, (endpoint, now) -> 1.7, false);
		HedgingModel.Figures with = HedgingModel.run(BUDGET, 0.99, (endpoint, now) -> 1.7, false);
		assertThat(with).isEqualTo(without);
	}

	@Test
	void copiesStopWhenTheBudgetIsExhausted() {
		HedgingModel.Pace pace = (endpoint, now) -> (endpoint < 3) ? 5 : 1;
		HedgingModel.Figures without = HedgingModel.run(0, HALF_LOAD, pace, false);
		HedgingModel.Figures with = HedgingModel.run(0.001, HALF_LOAD, pace, false);
		assertThat(with.copies()).isPositive().isLessThanOrEqualTo((int) (HedgingModel.REQUESTS * 0.0011) + BURST);
		assertThat(with.refusedForBudget()).isPositive();
		assertThat(with.work()).isLessThan(without.work() * 1.01);
		assertThat(with.p50()).isLessThanOrEqualTo(without.p50() + 1);
		assertThat(with.p999()).isLessThanOrEqualTo(without.p999() * 11 / 10);
	}

	@Test
	void stoppedClockGrantsNoMoreThanTheBudget() {
		HedgingModel.Pace pace = (endpoint, now) -> 1;
		HedgingModel.Figures without = HedgingModel.run(0, HALF_LOAD, pace, true);
		HedgingModel.Figures with = HedgingModel.run(BUDGET, HALF_LOAD, pace, true);
		assertThat(with.copies()).isLessThanOrEqualTo((int) (HedgingModel.REQUESTS * 1.01 * BUDGET) + BURST);
		assertThat(with.p999()).isLessThanOrEqualTo(without.p999() * 11 / 10);
	}

	@Property(tries = 100)
	void copiesExceedTheBudgetInNoWindow(@ForAll long seed, @ForAll @DoubleRange(max = 1) double share) {
		Random random = new Random(seed);
		HedgingPolicy policy = warmPolicy(share);
		// The highest excess of copies over the share of requests in any window that
		// ends now.
		double excess = 0;
		int lingering = 0;
		for (int step = 0; step < 2_000; step++) {
			int kind = random.nextInt(10);
			if (kind < 4) {
				policy.onRequest("r", "s");
				excess = Math.max(0, excess - share);
			}
			else if (kind < 8 && policy.takeCopy("r", "s", 1_000, 4, 4).isEmpty()) {
				if (random.nextInt(5) == 0) {
					policy.returnCopy("s");
				}
				else {
					excess++;
				}
			}
			else if (kind == 8) {
				policy.onLingering("s");
				lingering++;
			}
			else if (kind == 9 && lingering > 0) {
				policy.onLingeringEnded("s");
				lingering--;
			}
			assertThat(excess).isLessThanOrEqualTo(BURST + 1e-6);
		}
	}

	@Test
	void cancelledRunThatHasNotEndedCountsAgainstTheBudget() {
		HedgingPolicy policy = warmPolicy(1);
		policy.onRequest("r", "s");
		policy.onLingering("s");
		assertThat(policy.takeCopy("r", "s", 1_000, 4, 4)).contains(HedgeRefusal.BUDGET);
		policy.onLingeringEnded("s");
		assertThat(policy.takeCopy("r", "s", 1_000, 4, 4)).isEmpty();
	}

	@Test
	void copyIsRefusedWithoutTimeOrSpareSlots() {
		HedgingPolicy policy = warmPolicy(1);
		policy.onRequest("r", "s");
		assertThat(policy.takeCopy("r", "s", 40, 4, 4)).contains(HedgeRefusal.TIME);
		assertThat(policy.takeCopy("r", "s", 1_000, 1, 8)).contains(HedgeRefusal.NO_SPARE_CAPACITY);
		assertThat(policy.takeCopy("r", "s", 1_000, 0, 0)).contains(HedgeRefusal.NO_SPARE_CAPACITY);
	}

	@Test
	void delayNeedsRecentSamples() {
		ManualClock clock = ManualClock.of(5_000);
		HedgingPolicy policy = HedgingPolicy.of(new HedgingSettings(0.1, null, 20L, List.of("r")), clock);
		for (int sample = 1; sample <= 20; sample++) {
			assertThat(policy.onRequest("r", "s")).isEmpty();
			policy.onFirstRunEnded("r", sample);
		}
		assertThat(policy.delayMillis("r")).hasValue(20);
		policy.onFirstRunEnded("r", 100);
		policy.onFirstRunEnded("r", 100);
		assertThat(policy.delayMillis("r")).hasValue(100);
		assertThat(policy.onRequest("other", "s")).isEmpty();
		clock.advance(ResponseTimes.WINDOW_MILLIS);
		assertThat(policy.delayMillis("r")).as("samples older than the window").isEmpty();
	}

	@ParameterizedTest
	@ValueSource(doubles = { -0.1, 1.1, Double.NaN })
	void budgetOutsideOfItsBoundsIsRejected(double budget) {
		assertThatIllegalArgumentException().isThrownBy(() -> new HedgingSettings(budget, null, null, List.of()))
			.withMessage("hedging.budget must be at least 0 and at most 1: " + budget);
	}

	private static void assertTailIsShorter(HedgingModel.Pace pace) {
		HedgingModel.Figures without = HedgingModel.run(0, HALF_LOAD, pace, false);
		HedgingModel.Figures with = HedgingModel.run(BUDGET, HALF_LOAD, pace, false);
		assertThat(with.p99()).as("%s, without %s", with, without).isLessThan(without.p99() * 3 / 4);
		assertThat(with.p999()).isLessThan(without.p999());
		assertThat(with.p50()).isLessThanOrEqualTo(without.p50() + 1);
		assertThat(with.work()).as("work").isLessThan(without.work() * (1 + BUDGET));
	}

	private static HedgingPolicy warmPolicy(double share) {
		HedgingPolicy policy = HedgingPolicy.of(new HedgingSettings(share, null, null, List.of()), ManualClock.of(0));
		for (int sample = 0; sample < 20; sample++) {
			policy.onFirstRunEnded("r", 50);
		}
		return policy;
	}

}
