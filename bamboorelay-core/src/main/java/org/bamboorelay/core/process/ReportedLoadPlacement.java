package org.bamboorelay.core.process;

import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Chooses an endpoint by the expected time until a request is done: its own work and the
 * work before it, at the current pace of the endpoint. For an item of a submission the
 * time follows from its expected length and its prompt; engines that have prefilled the
 * shared part of the prompt are preferred among those that complete the item equally
 * soon. The class applies to services whose endpoints report their load. Hosts that saw
 * the same report must not all choose the same endpoint, so the choice among the best few
 * is random.
 * <p>
 * Not thread-safe; guarded by the lock of {@link EndpointTable}.
 */
final class ReportedLoadPlacement implements PlacementPolicy {

	/** Maximum number of endpoints among which the choice is random. */
	private static final int MAX_BEST = 3;

	/** Maximum excess over the lowest expected delay at which the choice is random. */
	private static final double BEST_TOLERANCE = 0.15;

	/**
	 * The same excess for the last item of a group, for which the rest of the group
	 * waits.
	 */
	private static final double LAST_ITEM_TOLERANCE = 0.03;

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
		ItemWork work = request.requirements().work();
		if (work != null) {
			return chooseForItem(request, work, candidates, rejections);
		}
		for (C candidate : candidates) {
			insert(candidate, delay(candidate, request));
		}
		return (this.size > 0) ? new Choice<>(randomOfBest(BEST_TOLERANCE), PlacementReason.LEAST_DELAY) : null;
	}

	private <C extends PlacementCandidate> @Nullable Choice<C> chooseForItem(Request request, ItemWork work,
			List<C> candidates, RejectionListener rejections) {
		C holder = null;
		double holderMillis = Double.MAX_VALUE;
		for (C candidate : candidates) {
			if (!candidate.fits(work, request.memory())) {
				rejections.onRejected(candidate.id(), PlacementReason.NO_MEMORY);
				continue;
			}
			boolean isHolder = request.promptHolders().containsKey(candidate.id());
			CompletionTime time = CompletionTime.of(candidate, work, request.unitTimes().typical(), isHolder,
					request.nowMillis());
			double factor = EstimatedLoadPlacement.isOfOtherModel(candidate, request.requirements())
					? OTHER_MODEL_FACTOR : 1;
			insert(candidate, time.totalMillis() * factor);
			// The load at a holder is mostly the group itself.
			double withoutLoad = (time.waitMillis() + time.runMillis()) * factor;
			if (isHolder && withoutLoad < holderMillis
					&& time.waitMillis() <= work.sharedTokens() / CompletionTime.PREFILL_TOKENS_PER_MILLI) {
				holder = candidate;
				holderMillis = withoutLoad;
			}
		}
		if (this.size == 0) {
			return null;
		}
		double tolerance = work.lastOfGroup() ? LAST_ITEM_TOLERANCE : BEST_TOLERANCE;
		if (holder != null && holderMillis <= this.delays[0] * (1 + tolerance)) {
			return new Choice<>(holder, PlacementReason.SHARED_PROMPT);
		}
		return new Choice<>(randomOfBest(tolerance), PlacementReason.EARLIEST_COMPLETION);
	}

	private static double delay(PlacementCandidate candidate, Request request) {
		double delay = (1 + candidate.expectedLoad(request.nowMillis()) / candidate.slots())
				* candidate.currentPace(request.nowMillis());
		if (candidate.unitTime() > 0 && request.unitTimes().fastest() > 0) {
			delay *= Math.max(1.0, candidate.unitTime() / request.unitTimes().fastest());
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
	private <C extends PlacementCandidate> C randomOfBest(double tolerance) {
		int count = 1;
		while (count < this.size && this.delays[count] <= this.delays[0] * (1 + tolerance)) {
			count++;
		}
		return (C) Objects.requireNonNull(this.best[(count > 1) ? this.random.nextInt(count) : 0]);
	}

}
