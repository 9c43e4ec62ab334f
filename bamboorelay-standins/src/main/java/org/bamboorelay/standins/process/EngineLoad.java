package org.bamboorelay.standins.process;

import java.util.Map;

/**
 * Load report of an endpoint; see section 4.2 of the design document.
 * <p>
 * Immutable and thread-safe.
 *
 * @param incarnation number that increases with each start of the endpoint
 * @param warm whether the endpoint reports its cold start as complete
 * @param running number of requests in the batch
 * @param waiting number of requests queued for the batch
 * @param capacity the maximum number of requests in the batch
 * @param leaving whether the endpoint is about to leave
 * @param weightVersions the loaded version of each weight line
 * @param atMs time of the report, in milliseconds
 */
public record EngineLoad(long incarnation, boolean warm, int running, int waiting, int capacity, boolean leaving,
		Map<String, Long> weightVersions, long atMs) {

	/**
	 * Returns this report with a different leaving state.
	 * @param isLeaving whether the endpoint is about to leave
	 * @return the new report
	 */
	public EngineLoad withLeaving(boolean isLeaving) {
		return new EngineLoad(this.incarnation, this.warm, this.running, this.waiting, this.capacity, isLeaving,
				this.weightVersions, this.atMs);
	}

}
