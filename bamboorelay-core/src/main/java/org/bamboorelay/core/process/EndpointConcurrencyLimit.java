package org.bamboorelay.core.process;

import java.util.Arrays;

import org.jspecify.annotations.Nullable;

/**
 * Adaptive limit on the number of concurrent requests of an endpoint. The limit starts at
 * 1 and increases with each successful response, so that an endpoint that is still
 * warming up is not overloaded. It decreases when responses fail or become slow, which
 * also detects an endpoint that became cold without reporting it.
 * <p>
 * Not thread-safe; guarded by the shard of the service.
 */
public final class EndpointConcurrencyLimit {

	/**
	 * Phase of a request whose send time is unknown. Its latency can lower the limit, but
	 * is ignored otherwise.
	 */
	public static final int UNKNOWN_PHASE = -1;

	private static final int LATENCY_WINDOW_SIZE = 9;

	/** Minimum number of latencies that give a median to compare with. */
	private static final int MIN_SAMPLES = 3;

	private static final int MAX_INCREASE_LATENCY_RATIO = 2;

	private static final int DECREASE_LATENCY_RATIO = 4;

	/**
	 * Lower bound of the median used for comparison, in milliseconds. With a smaller
	 * median a garbage collection pause looks like an endpoint that became cold.
	 */
	private static final double MIN_MEDIAN_MILLIS = 10;

	/**
	 * Rate at which the best median moves towards a higher median that is still within
	 * bounds, so that one very fast phase does not prevent increases permanently.
	 */
	private static final double MEDIAN_DRIFT_RATE = 1.0 / 64;

	private final long[] latencies = new long[LATENCY_WINDOW_SIZE];

	private boolean ramp;

	private int capacity;

	private int limit = 1;

	private boolean warm = true;

	/** Incremented whenever the limit decreases or is reset. */
	private int phase;

	/** The phase in which the limit was last reset. */
	private int resetPhase;

	private @Nullable String incarnation;

	private int samples;

	private double bestMedian;

	private EndpointConcurrencyLimit(boolean ramp, int capacity) {
		this.ramp = ramp;
		this.capacity = capacity;
	}

	/**
	 * Creates the limit of a newly started endpoint.
	 * @param ramp false for the baseline {@code no-ramp}, which uses the capacity as
	 * limit
	 * @param capacity the number of concurrent requests that the warm endpoint serves,
	 * until it reports its capacity
	 * @return the limit
	 */
	public static EndpointConcurrencyLimit of(boolean ramp, int capacity) {
		if (capacity < 1) {
			throw new IllegalArgumentException("capacity must be positive: " + capacity);
		}
		return new EndpointConcurrencyLimit(ramp, capacity);
	}

	/**
	 * Returns the current limit.
	 * @return the maximum number of concurrent requests
	 */
	public int value() {
		return this.ramp ? Math.min(this.limit, this.capacity) : this.capacity;
	}

	/**
	 * Returns the current phase, to be stored with each request that is sent now.
	 * @return a number that increases whenever the limit decreases or is reset
	 */
	public int phase() {
		return this.phase;
	}

	/**
	 * Switches the ramp on, or off in favour of its baseline.
	 * @param enabled false for the baseline {@code no-ramp}
	 */
	public void ramp(boolean enabled) {
		this.ramp = enabled;
	}

	/**
	 * Handles a load report of the endpoint.
	 * @param reportedIncarnation the incarnation
	 * @param reportedWarm whether the endpoint reports that it is warm
	 * @param reportedCapacity its capacity; values below 1 count as 1
	 * @return whether the endpoint is a new incarnation
	 */
	public boolean onLoadReport(String reportedIncarnation, boolean reportedWarm, int reportedCapacity) {
		boolean restarted = this.incarnation != null && !this.incarnation.equals(reportedIncarnation);
		this.incarnation = reportedIncarnation;
		this.capacity = Math.max(1, reportedCapacity);
		boolean wasWarm = this.warm;
		this.warm = reportedWarm;
		if (restarted || !reportedWarm || !wasWarm) {
			reset();
		}
		return restarted;
	}

	/**
	 * Handles a complete response. A response to a request that was sent before the last
	 * reset is ignored. A response to a request that was sent before the last decrease
	 * does not raise the limit: a long stream that began on a warm endpoint ends with a
	 * short time to its first byte after the endpoint became cold.
	 * @param latencyMillis the time to its first byte, in milliseconds
	 * @param sentPhase the phase when the request was sent, or {@link #UNKNOWN_PHASE}
	 */
	public void onResponse(long latencyMillis, int sentPhase) {
		boolean unknown = sentPhase == UNKNOWN_PHASE;
		if (!this.warm || (!unknown && sentPhase < this.resetPhase)) {
			return;
		}
		double best = Math.max(this.bestMedian, MIN_MEDIAN_MILLIS);
		boolean hasMedian = this.samples >= MIN_SAMPLES;
		if (hasMedian && latencyMillis > DECREASE_LATENCY_RATIO * best) {
			halve();
			return;
		}
		if (unknown) {
			return;
		}
		if (sentPhase == this.phase && (!hasMedian || latencyMillis <= MAX_INCREASE_LATENCY_RATIO * best)) {
			this.limit = Math.min(this.limit + 1, this.capacity);
		}
		this.latencies[this.samples++ % LATENCY_WINDOW_SIZE] = latencyMillis;
		if (this.samples >= MIN_SAMPLES) {
			double median = median();
			boolean first = this.samples == MIN_SAMPLES;
			this.bestMedian = (first || median < this.bestMedian) ? median
					: this.bestMedian + (median - this.bestMedian) * MEDIAN_DRIFT_RATE;
		}
	}

	/**
	 * Handles a failed response, or a refusal because of load.
	 */
	public void onFailure() {
		halve();
	}

	/**
	 * Handles a request that was already running when this host became the owner. The
	 * endpoint has sustained the adopted requests together, so their number is the least
	 * limit.
	 * @param running the number of requests adopted so far
	 */
	public void onAdopted(int running) {
		if (this.warm) {
			this.limit = Math.max(this.limit, Math.min(running, this.capacity));
		}
	}

	private void halve() {
		this.limit = Math.max(1, this.limit / 2);
		this.phase++;
	}

	private void reset() {
		this.limit = 1;
		this.resetPhase = ++this.phase;
		this.samples = 0;
		this.bestMedian = 0;
	}

	private double median() {
		long[] sorted = Arrays.copyOf(this.latencies, Math.min(this.samples, LATENCY_WINDOW_SIZE));
		Arrays.sort(sorted);
		return sorted[sorted.length / 2];
	}

}
