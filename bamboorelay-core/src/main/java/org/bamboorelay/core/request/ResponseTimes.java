package org.bamboorelay.core.request;

import java.util.Objects;

import org.HdrHistogram.AbstractHistogram;
import org.HdrHistogram.IntCountsHistogram;
import org.bamboorelay.core.time.Clock;

/**
 * Distribution of recent response times, over a sliding window that consists of slices.
 * <p>
 * Not thread-safe.
 */
final class ResponseTimes {

	/**
	 * Length of the window, in milliseconds. A route with 8.4 requests per second gets
	 * one in 6 s on each of 53 hosts, so that a minute has too few samples for a
	 * quantile.
	 */
	static final long WINDOW_MILLIS = 300_000;

	private static final int SLICES = 6;

	private static final long SLICE_MILLIS = WINDOW_MILLIS / SLICES;

	/** Maximum recorded time, in milliseconds; twice the longest time of a request. */
	private static final long MAX_MILLIS = 60_000;

	private static final int SIGNIFICANT_DIGITS = 2;

	private final Clock clock;

	private final AbstractHistogram total = newHistogram();

	private final AbstractHistogram[] slices = new AbstractHistogram[SLICES];

	private long currentSlice;

	private ResponseTimes(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
		for (int index = 0; index < SLICES; index++) {
			this.slices[index] = newHistogram();
		}
		this.currentSlice = clock.millis() / SLICE_MILLIS;
	}

	/**
	 * Creates an empty distribution.
	 * @param clock the monotonic clock of the process
	 * @return the distribution
	 */
	static ResponseTimes of(Clock clock) {
		return new ResponseTimes(clock);
	}

	/**
	 * Records a response time.
	 * @param millis the time, in milliseconds
	 */
	void record(long millis) {
		advance();
		long recordedMillis = Math.min(MAX_MILLIS, Math.max(0, millis));
		this.slices[index(this.currentSlice)].recordValue(recordedMillis);
		this.total.recordValue(recordedMillis);
	}

	/**
	 * Returns the number of samples in the window.
	 * @return the number
	 */
	long count() {
		advance();
		return this.total.getTotalCount();
	}

	/**
	 * Returns a quantile of the samples in the window.
	 * @param quantile the quantile, from 0 to 1
	 * @return the time, in milliseconds; 0 without samples
	 */
	long quantileMillis(double quantile) {
		advance();
		return this.total.getValueAtPercentile(quantile * 100);
	}

	private void advance() {
		long now = this.clock.millis() / SLICE_MILLIS;
		long first = Math.max(this.currentSlice + 1, now - SLICES + 1);
		for (long slice = first; slice <= now; slice++) {
			AbstractHistogram expired = this.slices[index(slice)];
			this.total.subtract(expired);
			expired.reset();
		}
		this.currentSlice = Math.max(this.currentSlice, now);
	}

	private static int index(long slice) {
		return (int) Math.floorMod(slice, (long) SLICES);
	}

	private static AbstractHistogram newHistogram() {
		return new IntCountsHistogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
	}

}
