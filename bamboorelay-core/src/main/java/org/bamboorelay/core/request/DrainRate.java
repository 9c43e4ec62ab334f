package org.bamboorelay.core.request;

/**
 * Requests taken out per time in which requests waited. Idle time does not count, as a
 * queue without work says nothing about the rate at which it could drain.
 * <p>
 * Not thread-safe.
 */
final class DrainRate {

	private static final double TIME_CONSTANT_MILLIS = 5_000;

	/** Less busy time than this says too little, in milliseconds. */
	private static final double MIN_BUSY_MILLIS = 200;

	private double drained;

	private double busyMillis;

	private long lastMillis = Long.MIN_VALUE;

	/**
	 * Counts the time since the call before.
	 * @param nowMillis the time, in milliseconds
	 * @param busy whether requests waited since then
	 */
	void advance(long nowMillis, boolean busy) {
		if (this.lastMillis != Long.MIN_VALUE && nowMillis > this.lastMillis && busy) {
			long elapsed = nowMillis - this.lastMillis;
			double keep = Math.exp(-elapsed / TIME_CONSTANT_MILLIS);
			this.drained *= keep;
			this.busyMillis = this.busyMillis * keep + TIME_CONSTANT_MILLIS * (1 - keep);
		}
		this.lastMillis = nowMillis;
	}

	void drained() {
		this.drained++;
	}

	void undrained() {
		this.drained = Math.max(0, this.drained - 1);
	}

	/**
	 * Returns the rate.
	 * @return requests per millisecond; 0 where too little was seen
	 */
	double perMilli() {
		return (this.busyMillis >= MIN_BUSY_MILLIS) ? this.drained / this.busyMillis : 0;
	}

}
