package org.bamboorelay.core.request;

/**
 * Limits retries to a fraction of the requests, so that retries cannot multiply the load
 * while endpoints fail.
 * <p>
 * Thread-safe.
 */
public final class RetryBudget {

	/** Retries that are allowed, in percent of the requests. */
	public static final int RETRY_PERCENT = 10;

	private static final long HUNDREDTHS_PER_RETRY = 100;

	private final long maxHundredths;

	private long availableHundredths;

	private RetryBudget(int burst) {
		this.maxHundredths = burst * HUNDREDTHS_PER_RETRY;
		this.availableHundredths = this.maxHundredths;
	}

	/**
	 * Creates a full budget.
	 * @param burst the maximum number of retries that accumulate, positive
	 * @return the budget
	 */
	public static RetryBudget of(int burst) {
		if (burst < 1) {
			throw new IllegalArgumentException("burst must be positive: " + burst);
		}
		return new RetryBudget(burst);
	}

	/**
	 * Records a first attempt, which adds a fraction of a retry to the budget.
	 */
	public synchronized void recordRequest() {
		this.availableHundredths = Math.min(this.maxHundredths, this.availableHundredths + RETRY_PERCENT);
	}

	/**
	 * Takes one retry from the budget.
	 * @return false if the budget is exhausted and the request must not be retried
	 */
	public synchronized boolean tryAcquire() {
		if (this.availableHundredths < HUNDREDTHS_PER_RETRY) {
			return false;
		}
		this.availableHundredths -= HUNDREDTHS_PER_RETRY;
		return true;
	}

}
