package org.bamboorelay.core.process;

/**
 * Decides when a run leaves an endpoint that the platform reclaims. A run that can't
 * complete there is moved at once, because another endpoint continues it from the events
 * made so far; the others are moved shortly before the endpoint ends.
 * <p>
 * Stateless and thread-safe.
 */
public final class ReclaimPolicy {

	/**
	 * Remaining time at which all runs are moved, in milliseconds: 300 ms to resume them
	 * elsewhere, and 100 ms between two decisions.
	 */
	private static final long LATEST_MOVE_MILLIS = 400;

	private ReclaimPolicy() {
	}

	/**
	 * Returns whether a run has to be moved now.
	 * @param noticeMillis the remaining time of the endpoint, in milliseconds
	 * @param remainingMillis the expected time until the run is complete, in
	 * milliseconds; infinite if it is unknown
	 * @return whether to abort the run and resume it elsewhere
	 */
	public static boolean mustMove(long noticeMillis, double remainingMillis) {
		return noticeMillis <= LATEST_MOVE_MILLIS || remainingMillis > noticeMillis - LATEST_MOVE_MILLIS;
	}

}
