package org.bamboorelay.standins.process;

import java.util.Map;

/**
 * Load report of an endpoint; see section 4.2 of the design page.
 * <p>
 * Immutable and thread-safe.
 *
 * @param incarnation rises with each start of the endpoint
 * @param warm whether the cold start is over, as far as the endpoint says
 * @param running requests in the batch
 * @param waiting requests that wait for a place in it
 * @param capacity the most requests in the batch
 * @param leaving whether the endpoint is about to leave
 * @param weightVersions the version of each line
 * @param atMs when the report was made, in milliseconds
 */
public record EngineLoad(long incarnation, boolean warm, int running, int waiting, int capacity, boolean leaving,
		Map<String, Long> weightVersions, long atMs) {

	/**
	 * Returns a report with another sign of leaving.
	 * @param isLeaving whether the endpoint is about to leave
	 * @return the new report
	 */
	public EngineLoad withLeaving(boolean isLeaving) {
		return new EngineLoad(this.incarnation, this.warm, this.running, this.waiting, this.capacity, isLeaving,
				this.weightVersions, this.atMs);
	}

}
