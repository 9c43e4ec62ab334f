package org.bamboorelay.load.process;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Request counts and latencies of one workspace at one service.
 * <p>
 * Thread-safe; all methods synchronize on this object.
 */
final class CallerTally {

	private static final long MAX_LATENCY_MICROS = 120_000_000;

	private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, 3);

	private final Map<String, Long> refusals = new TreeMap<>();

	private final Map<String, Long> unsent = new TreeMap<>();

	private final long[] servedBySecond;

	private final long[] failedBySecond;

	private long demand;

	private long units;

	private long requests;

	private long planned;

	private long late;

	CallerTally(int seconds) {
		this.servedBySecond = new long[seconds];
		this.failedBySecond = new long[seconds];
	}

	/**
	 * Counts a planned arrival, whether or not it is sent later.
	 * @param amount demanded units: requests of a plain service, tokens of a model
	 * service
	 */
	synchronized void recordPlanned(long amount) {
		this.demand += amount;
		this.planned++;
	}

	synchronized void recordLate() {
		this.late++;
	}

	synchronized void recordUnsent(String reason) {
		this.unsent.merge(reason, 1L, Long::sum);
	}

	synchronized void recordServed(long amount, long micros, int second) {
		this.units += amount;
		this.requests++;
		this.latency.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(1, micros)));
		this.servedBySecond[Math.min(second, this.servedBySecond.length - 1)]++;
	}

	synchronized void recordRefused(String reason, int second) {
		this.refusals.merge(reason, 1L, Long::sum);
		this.failedBySecond[Math.min(second, this.failedBySecond.length - 1)]++;
	}

	synchronized long demand() {
		return this.demand;
	}

	synchronized long arrivals() {
		return this.planned;
	}

	synchronized long lateArrivals() {
		return this.late;
	}

	synchronized Map<String, Long> unsentArrivals() {
		return new TreeMap<>(this.unsent);
	}

	/**
	 * Returns the number of planned arrivals that are neither served, refused nor counted
	 * as unsent.
	 * @return the number, zero after a complete run
	 */
	synchronized long unaccountedArrivals() {
		return this.planned - this.requests - sum(this.refusals) - sum(this.unsent);
	}

	synchronized long failedRequests() {
		return sum(this.refusals);
	}

	private static long sum(Map<String, Long> counts) {
		return counts.values().stream().mapToLong(Long::longValue).sum();
	}

	synchronized long units() {
		return this.units;
	}

	synchronized long requests() {
		return this.requests;
	}

	synchronized double p99Millis() {
		return this.latency.getValueAtPercentile(99) / 1_000.0;
	}

	synchronized double p50Millis() {
		return this.latency.getValueAtPercentile(50) / 1_000.0;
	}

	synchronized Map<String, Long> refusals() {
		return new TreeMap<>(this.refusals);
	}

	synchronized long[] servedBySecond() {
		return Arrays.copyOf(this.servedBySecond, this.servedBySecond.length);
	}

	synchronized long[] failedBySecond() {
		return Arrays.copyOf(this.failedBySecond, this.failedBySecond.length);
	}

}
