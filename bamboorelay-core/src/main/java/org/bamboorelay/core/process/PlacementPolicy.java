package org.bamboorelay.core.process;

import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Chooses an endpoint for a request among those that can accept it. The cost of a choice
 * is linear in the number of candidates.
 * <p>
 * Implementations are guarded by the lock of the caller.
 */
interface PlacementPolicy {

	/**
	 * Chooses an endpoint.
	 * @param <C> the type of the candidates
	 * @param request the request
	 * @param candidates the endpoints that can accept the request
	 * @param rejections receives the candidates that cannot be chosen; a candidate that
	 * is merely not preferred need not be reported
	 * @return the endpoint and the reason, or null if there is none
	 */
	<C extends PlacementCandidate> @Nullable Choice<C> choose(Request request, List<C> candidates,
			RejectionListener rejections);

	/**
	 * A request with the figures that are common to all candidates.
	 *
	 * @param requirements the requirements of the request
	 * @param unitTimes the times per unit of work of all endpoints of the service
	 * @param memory the memory of an endpoint of the service
	 * @param promptHolders the endpoints that have prefilled the shared part of the
	 * prompt, with the time of the last item
	 * @param nowMillis the time of the choice, in milliseconds
	 */
	record Request(EndpointRequirements requirements, UnitTimes unitTimes, Memory memory,
			Map<String, Long> promptHolders, long nowMillis) {
	}

	/**
	 * The average times per unit of work of the endpoints of a service.
	 *
	 * @param fastest the lowest time, in milliseconds; 0 if none is known
	 * @param typical the mean of the times, in milliseconds; 0 if none is known
	 */
	record UnitTimes(double fastest, double typical) {
	}

	/**
	 * The memory of an endpoint.
	 *
	 * @param capacity the number of tokens that fit into it; 0 if it is not limited
	 * @param tokensPerRun the expected number of tokens of a run of another host
	 */
	record Memory(long capacity, double tokensPerRun) {
	}

	/**
	 * The endpoint that was chosen.
	 *
	 * @param <C> the type of the candidates
	 * @param candidate the endpoint
	 * @param reason why it was chosen
	 */
	record Choice<C>(C candidate, PlacementReason reason) {
	}

	/**
	 * Receives the endpoints that are not chosen.
	 */
	@FunctionalInterface
	interface RejectionListener {

		/** Ignores all endpoints. */
		RejectionListener NONE = (endpoint, reason) -> {
		};

		/**
		 * Handles an endpoint that is not chosen.
		 * @param endpoint the id of the endpoint
		 * @param reason why it is not chosen
		 */
		void onRejected(String endpoint, PlacementReason reason);

	}

}
