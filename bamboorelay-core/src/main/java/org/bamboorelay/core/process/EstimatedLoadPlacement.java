package org.bamboorelay.core.process;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the endpoint with the lowest load that this host knows of: the requests of this
 * host and of its peers, relative to the slots and the pace of the endpoint. It applies
 * to services whose endpoints do not report their load.
 * <p>
 * Stateless and thread-safe.
 */
final class EstimatedLoadPlacement implements PlacementPolicy {

	/** Maximum load difference that affinity outweighs, in slots. */
	private static final double MAX_AFFINITY_BONUS_SLOTS = 2.0;

	/**
	 * Load added to the score of an endpoint that is assigned to another model, as a
	 * share of its slots.
	 */
	private static final double OTHER_MODEL_PENALTY = 0.7;

	@Override
	public <C extends PlacementCandidate> @Nullable Choice<C> choose(Request request, List<C> candidates,
			RejectionListener rejections) {
		double bestScore = Double.MAX_VALUE;
		C best = null;
		for (C candidate : candidates) {
			double score = score(candidate, request.requirements(), request.unitTimes().fastest());
			if (score < bestScore) {
				bestScore = score;
				best = candidate;
			}
		}
		return (best != null) ? new Choice<>(best, PlacementReason.LOWEST_LOAD) : null;
	}

	/**
	 * Returns whether an endpoint is assigned to a model other than that of a request.
	 * @param candidate the endpoint
	 * @param requirements the requirements of the request
	 * @return whether endpoints of the request's own model are preferred
	 */
	static boolean isOfOtherModel(PlacementCandidate candidate, EndpointRequirements requirements) {
		String model = candidate.assignedModel();
		return model != null && requirements.model() != null && !model.equals(requirements.model());
	}

	private static double score(PlacementCandidate candidate, EndpointRequirements requirements,
			double fastestUnitTime) {
		double slots = candidate.slots();
		double score = (candidate.load() + 1) / slots;
		if (candidate.unitTime() > 0 && fastestUnitTime > 0) {
			score *= Math.max(1.0, candidate.unitTime() / fastestUnitTime);
		}
		if (isOfOtherModel(candidate, requirements)) {
			score += OTHER_MODEL_PENALTY;
		}
		if (requirements.affinity() != 0) {
			long hash = requirements.affinity() * 31 + candidate.id().hashCode();
			hash ^= hash >>> 29;
			hash *= 0xBF58476D1CE4E5B9L;
			hash ^= hash >>> 32;
			score -= MAX_AFFINITY_BONUS_SLOTS / slots * ((hash & 0xFFFF) / 65536.0);
		}
		return score;
	}

}
