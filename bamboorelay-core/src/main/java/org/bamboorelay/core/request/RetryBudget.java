package org.bamboorelay.core.request;

/**
 * Bounds retries to a share of the requests, so that a failing service does not get a
 * multiple of its load.
 * <p>
 * Thread-safe.
 */
public final class RetryBudget {

	private static final double SHARE = 0.1;

	/** Retries that an idle process may make at once. */
	private static final double MAX_SAVED = 10;

	private double saved = MAX_SAVED;

	/**
	 * Notes a new request.
	 */
	public synchronized void request() {
		this.saved = Math.min(MAX_SAVED, this.saved + SHARE);
	}

	/**
	 * Takes one retry.
	 * @return whether the retry is allowed
	 */
	public synchronized boolean take() {
		if (this.saved < 1) {
			return false;
		}
		this.saved -= 1;
		return true;
	}

}
