package org.bamboorelay.core.process;

import org.jspecify.annotations.Nullable;

/**
 * An endpoint that can accept a request, with the figures on which the choice is based.
 * The figures are valid only during the choice, because they are read from the live state
 * of the endpoint; copies for each choice would cost more than the choice itself.
 */
interface PlacementCandidate {

	/**
	 * Returns the endpoint.
	 * @return its id
	 */
	String id();

	/**
	 * Returns the number of requests that the endpoint runs concurrently.
	 * @return the number of slots
	 */
	int slots();

	/**
	 * Returns the number of requests that this host and its peers run at the endpoint.
	 * @return the number of requests
	 */
	int load();

	/**
	 * Returns the average time that the endpoint needs for a unit of work.
	 * @return the time, in milliseconds; 0 if it is not known
	 */
	double unitTime();

	/**
	 * Returns the model to which the endpoint is assigned.
	 * @return the model; null if it is assigned to none
	 */
	@Nullable String assignedModel();

	/**
	 * Returns the load of the endpoint from its last report and what was sent there
	 * since. As the report ages, the result approaches {@link #load()}.
	 * @param nowMillis the time, in milliseconds
	 * @return the number of requests that run or wait at the endpoint
	 */
	double expectedLoad(long nowMillis);

	/**
	 * Returns how long work takes at the endpoint now, relative to the usual. As the
	 * report ages, the result approaches the average of the endpoint's reports.
	 * @param nowMillis the time, in milliseconds
	 * @return the factor
	 */
	double currentPace(long nowMillis);

	/**
	 * Returns how long work usually takes at the endpoint, as it reports it.
	 * @return the average of the reported factors
	 */
	double usualPace();

	/**
	 * Returns whether an item fits into the memory of the endpoint. An item fits into an
	 * idle endpoint whatever its size is.
	 * @param work the item
	 * @param memory the memory of an endpoint of the service
	 * @return whether the item fits
	 */
	boolean fits(ItemWork work, PlacementPolicy.Memory memory);

}
