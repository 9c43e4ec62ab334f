package org.bamboorelay.core.request;

/**
 * Limits retries to a share of the requests, so that retries cannot multiply the load
 * while endpoints fail.
 * <p>
 * Thread-safe.
 */
public final class RetryBudget {

	/** Share of the requests that may be retried, in percent. */
	public static final int PERCENT = 10;

	private static final long WHOLE = 100;

	private final long limit;

	private long hundredths;

	private RetryBudget(int burst) {
		this.limit = burst * WHOLE;
		this.hundredths = this.limit;
	}

	/**
	 * Creates a full budget.
	 * @param burst the most retries that are saved up
	 * @return the budget
	 */
	public static RetryBudget of(int burst) {
		if (burst < 1) {
			throw new IllegalArgumentException("burst must be positive: " + burst);
		}
		return new RetryBudget(burst);
	}

	/**
	 * Notes a first attempt, which earns a part of a retry.
	 */
	public synchronized void requested() {
		this.hundredths = Math.min(this.limit, this.hundredths + PERCENT);
	}

	/**
	 * Takes one retry from the budget.
	 * @return false where the budget is used up and the request must not be retried
	 */
	public synchronized boolean tryRetry() {
		if (this.hundredths < WHOLE) {
			return false;
		}
		this.hundredths -= WHOLE;
		return true;
	}

}
