package org.bamboorelay.core.process;

import java.util.Arrays;

import org.jspecify.annotations.Nullable;

/**
 * How many requests an endpoint may run at once. Starts at 1 and grows with each good
 * answer, so that an endpoint that still warms up is not pushed over; falls when answers
 * fail or get slow, which also finds an endpoint that turned cold without saying so.
 * <p>
 * Not thread-safe; guarded by the shard of the service.
 */
public final class EndpointAllowance {

	/**
	 * Stands for the phase of a request whose time of sending is not known. Such a
	 * request may show that the endpoint got slow, but says nothing else of it.
	 */
	public static final int UNKNOWN_PHASE = -1;

	private static final int WINDOW = 9;

	/** Fewer latencies than this give no median to compare with. */
	private static final int MIN_SAMPLES = 3;

	private static final int GROWTH_FACTOR = 2;

	private static final int FALL_FACTOR = 4;

	/**
	 * Medians below this count as this, in milliseconds; otherwise a pause of the garbage
	 * collector looks like an endpoint that turned cold.
	 */
	private static final double MIN_MEDIAN_MILLIS = 10;

	/**
	 * Share by which the best median follows a slower median that is still within bounds,
	 * so that one very fast phase does not block growth for ever.
	 */
	private static final double DRIFT = 1.0 / 64;

	private final long[] latencies = new long[WINDOW];

	private boolean ramp;

	private int capacity;

	private int allowance = 1;

	private boolean warm = true;

	/** Rises when the allowance falls or starts again. */
	private int phase;

	/** The phase in which the allowance last started again. */
	private int startPhase;

	private @Nullable String incarnation;

	private int samples;

	private double bestMedian;

	private EndpointAllowance(boolean ramp, int capacity) {
		this.ramp = ramp;
		this.capacity = capacity;
	}

	/**
	 * Creates the allowance of a fresh endpoint.
	 * @param ramp false for the baseline {@code no-ramp}, which allows the capacity
	 * @param capacity the requests that the warm endpoint serves at once, until it
	 * reports its capacity
	 * @return the allowance
	 */
	public static EndpointAllowance of(boolean ramp, int capacity) {
		if (capacity < 1) {
			throw new IllegalArgumentException("capacity must be positive: " + capacity);
		}
		return new EndpointAllowance(ramp, capacity);
	}

	/**
	 * Returns the allowance.
	 * @return the most requests that may run at once
	 */
	public int value() {
		return this.ramp ? Math.min(this.allowance, this.capacity) : this.capacity;
	}

	/**
	 * Returns the phase, to be kept with each request that is sent now.
	 * @return a number that rises when the allowance falls or starts again
	 */
	public int phase() {
		return this.phase;
	}

	/**
	 * Switches between the ramp and its baseline.
	 * @param on false for the baseline {@code no-ramp}
	 */
	public void ramp(boolean on) {
		this.ramp = on;
	}

	/**
	 * Takes a load report of the endpoint.
	 * @param reportedIncarnation the incarnation
	 * @param reportedWarm whether the endpoint says that it is warm
	 * @param reportedCapacity its capacity; values below 1 count as 1
	 * @return whether the endpoint is a new incarnation
	 */
	public boolean reported(String reportedIncarnation, boolean reportedWarm, int reportedCapacity) {
		boolean changed = this.incarnation != null && !this.incarnation.equals(reportedIncarnation);
		this.incarnation = reportedIncarnation;
		this.capacity = Math.max(1, reportedCapacity);
		boolean wasWarm = this.warm;
		this.warm = reportedWarm;
		if (changed || !reportedWarm || !wasWarm) {
			restart();
		}
		return changed;
	}

	/**
	 * Takes a whole answer. One to a request that was sent before the allowance started
	 * again says nothing of the endpoint as it is now. One to a request that was sent
	 * before the last fall does not raise the allowance: a long stream that began on a
	 * warm endpoint ends with a short time to its first byte after the endpoint turned
	 * cold.
	 * @param latencyMillis time to its first byte, in milliseconds
	 * @param sentPhase the phase when the request was sent, or {@link #UNKNOWN_PHASE}
	 */
	public void answered(long latencyMillis, int sentPhase) {
		boolean unknown = sentPhase == UNKNOWN_PHASE;
		if (!this.warm || (!unknown && sentPhase < this.startPhase)) {
			return;
		}
		double best = Math.max(this.bestMedian, MIN_MEDIAN_MILLIS);
		boolean comparable = this.samples >= MIN_SAMPLES;
		if (comparable && latencyMillis > FALL_FACTOR * best) {
			halve();
			return;
		}
		if (unknown) {
			return;
		}
		if (sentPhase == this.phase && (!comparable || latencyMillis <= GROWTH_FACTOR * best)) {
			this.allowance = Math.min(this.allowance + 1, this.capacity);
		}
		this.latencies[this.samples++ % WINDOW] = latencyMillis;
		if (this.samples >= MIN_SAMPLES) {
			double median = median();
			boolean first = this.samples == MIN_SAMPLES;
			this.bestMedian = (first || median < this.bestMedian) ? median
					: this.bestMedian + (median - this.bestMedian) * DRIFT;
		}
	}

	/**
	 * Takes a failed answer or a refusal for load.
	 */
	public void failed() {
		halve();
	}

	/**
	 * Takes a request that was already running when this host became the owner. The
	 * endpoint bore the adopted requests together, so that many are allowed at least.
	 * @param running the requests adopted so far
	 */
	public void adopted(int running) {
		if (this.warm) {
			this.allowance = Math.max(this.allowance, Math.min(running, this.capacity));
		}
	}

	private void halve() {
		this.allowance = Math.max(1, this.allowance / 2);
		this.phase++;
	}

	private void restart() {
		this.allowance = 1;
		this.startPhase = ++this.phase;
		this.samples = 0;
		this.bestMedian = 0;
	}

	private double median() {
		long[] sorted = Arrays.copyOf(this.latencies, Math.min(this.samples, WINDOW));
		Arrays.sort(sorted);
		return sorted[sorted.length / 2];
	}

}
