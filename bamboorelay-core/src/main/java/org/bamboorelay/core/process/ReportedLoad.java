package org.bamboorelay.core.process;

/**
 * The load that an endpoint reports in a response.
 * <p>
 * Immutable and thread-safe.
 *
 * @param running the number of requests that it runs
 * @param waiting the number of requests that wait there
 * @param slots the number of requests that it runs concurrently
 * @param pace how long work currently takes there, relative to the usual
 */
public record ReportedLoad(int running, int waiting, int slots, double pace) {

	/**
	 * Bound of the pace. An endpoint that is slower by more than this factor is not
	 * distinguished from one that is stopped.
	 */
	private static final double MAX_PACE = 100;

	public ReportedLoad {
		if (running < 0 || waiting < 0) {
			throw new IllegalArgumentException("running and waiting must not be negative: " + running + ", " + waiting);
		}
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be positive: " + slots);
		}
		if (!(pace > 0 && pace <= MAX_PACE)) {
			throw new IllegalArgumentException("pace must be positive and at most " + MAX_PACE + ": " + pace);
		}
	}

}
