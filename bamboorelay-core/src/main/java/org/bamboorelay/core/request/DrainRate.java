package org.bamboorelay.core.request;

/**
 * The rate at which requests leave a queue while requests wait, as an exponentially
 * decaying average. Idle time does not count, because an empty queue gives no information
 * about the rate at which it could drain.
 * <p>
 * Not thread-safe.
 */
final class DrainRate {

	private static final double DEFAULT_TIME_CONSTANT_MILLIS = 5_000;

	/** Minimum busy time for a meaningful rate, in milliseconds. */
	private static final double MIN_BUSY_MILLIS = 200;

	private final double timeConstantMillis;

	private double drained;

	private double busyMillis;

	private long lastMillis = Long.MIN_VALUE;

	DrainRate() {
		this(DEFAULT_TIME_CONSTANT_MILLIS);
	}

	DrainRate(double timeConstantMillis) {
		if (!(timeConstantMillis > 0)) {
			throw new IllegalArgumentException("timeConstantMillis must be positive: " + timeConstantMillis);
		}
		this.timeConstantMillis = timeConstantMillis;
	}

	/**
	 * Accounts for the time since the previous call.
	 * @param nowMillis the current time, in milliseconds
	 * @param busy whether requests have been waiting since then
	 */
	void advance(long nowMillis, boolean busy) {
		if (this.lastMillis != Long.MIN_VALUE && nowMillis > this.lastMillis && busy) {
			long elapsed = nowMillis - this.lastMillis;
			double keep = Math.exp(-elapsed / this.timeConstantMillis);
			this.drained *= keep;
			this.busyMillis = this.busyMillis * keep + this.timeConstantMillis * (1 - keep);
		}
		this.lastMillis = nowMillis;
	}

	void drained() {
		this.drained++;
	}

	void undoDrained() {
		this.drained = Math.max(0, this.drained - 1);
	}

	/**
	 * Returns the rate.
	 * @return the rate in requests per millisecond; 0 if there was too little busy time
	 */
	double perMillisecond() {
		return (this.busyMillis >= MIN_BUSY_MILLIS) ? this.drained / this.busyMillis : 0;
	}

}
