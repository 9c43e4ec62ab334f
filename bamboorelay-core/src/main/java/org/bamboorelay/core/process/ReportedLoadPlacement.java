package org.bamboorelay.core.process;

import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Chooses an endpoint by the expected time until a request is done: its own work and the
 * work before it, at the current pace of the endpoint. It applies to services whose
 * endpoints report their load. Hosts that saw the same report must not all choose the
 * same endpoint, so the choice among the best few is random.
 * <p>
 * Not thread-safe; guarded by the lock of {@link EndpointTable}.
 */
final class ReportedLoadPlacement implements PlacementPolicy {

	/** Maximum number of endpoints among which the choice is random. */
	private static final int MAX_BEST = 3;

	/** Maximum excess over the lowest expected delay at which the choice is random. */
	private static final double BEST_TOLERANCE = 0.15;

	/** Factor on the expected delay of an endpoint that is assigned to another model. */
	private static final double OTHER_MODEL_FACTOR = 1.7;

	private final RandomGenerator random;

	private final double[] delays = new double[MAX_BEST];

	private final @Nullable PlacementCandidate[] best = new PlacementCandidate[MAX_BEST];

	private int size;

	ReportedLoadPlacement(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	@Override
	public <C extends PlacementCandidate> @Nullable Choice<C> choose(Request request, List<C> candidates,
			RejectionListener rejections) {
		this.size = 0;
		for (C candidate : candidates) {
			insert(candidate, delay(candidate, request));
		}
		return (this.size > 0) ? new Choice<>(randomOfBest(), PlacementReason.LEAST_DELAY) : null;
	}

	private static double delay(PlacementCandidate candidate, Request request) {
		double delay = (1 + candidate.expectedLoad(request.nowMillis()) / candidate.slots())
				* candidate.currentPace(request.nowMillis());
		if (candidate.unitTime() > 0 && request.fastestUnitTime() > 0) {
			delay *= Math.max(1.0, candidate.unitTime() / request.fastestUnitTime());
		}
		return EstimatedLoadPlacement.isOfOtherModel(candidate, request.requirements()) ? delay * OTHER_MODEL_FACTOR
				: delay;
	}

	private void insert(PlacementCandidate candidate, double delay) {
		int position = this.size;
		while (position > 0 && this.delays[position - 1] > delay) {
			position--;
		}
		if (position == MAX_BEST) {
			return;
		}
		this.size = Math.min(MAX_BEST, this.size + 1);
		for (int i = this.size - 1; i > position; i--) {
			this.delays[i] = this.delays[i - 1];
			this.best[i] = this.best[i - 1];
		}
		this.delays[position] = delay;
		this.best[position] = candidate;
	}

	@SuppressWarnings("unchecked")
	private <C extends PlacementCandidate> C randomOfBest() {
		int count = 1;
		while (count < this.size && this.delays[count] <= this.delays[0] * (1 + BEST_TOLERANCE)) {
			count++;
		}
		return (C) Objects.requireNonNull(this.best[(count > 1) ? this.random.nextInt(count) : 0]);
	}

}
