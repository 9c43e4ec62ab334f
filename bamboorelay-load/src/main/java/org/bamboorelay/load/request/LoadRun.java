package org.bamboorelay.load.request;

import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.Histogram;

/**
 * Generates load with a fixed number of threads. In an open loop arrivals are planned in
 * advance and do not depend on responses; latency is measured from the planned arrival,
 * so that a stall of the server also counts for the requests delayed by it (avoiding
 * coordinated omission). In a closed loop each thread sends its next request after it has
 * received a response.
 * <p>
 * Not thread-safe: used by one thread, which waits for the threads that send the
 * requests.
 */
final class LoadRun {

	private static final long MAX_LATENCY_MICROS = 60_000_000;

	private static final int SIGNIFICANT_DIGITS = 3;

	private final int threads;

	private final Call call;

	LoadRun(int threads, Call call) {
		this.threads = threads;
		this.call = call;
	}

	/**
	 * Sends requests in an open loop.
	 * @param rate mean arrivals per second
	 * @param seed seed of the exponential inter-arrival times
	 * @param seconds length of the run, in seconds
	 * @return the measured throughput and latencies
	 */
	Result runOpenLoop(double rate, long seed, double seconds) {
		long[] plan = planArrivals(rate, seed, seconds);
		AtomicInteger next = new AtomicInteger();
		long start = System.nanoTime();
		return run(start, (histogram, served, failed) -> {
			int index;
			while ((index = next.getAndIncrement()) < plan.length) {
				long planned = start + plan[index];
				long wait;
				while ((wait = planned - System.nanoTime()) > 0) {
					LockSupport.parkNanos(wait);
				}
				recordOutcome(this.call.send(index), planned, histogram, served, failed);
			}
		});
	}

	/**
	 * Sends requests in a closed loop.
	 * @param seconds length of the run, in seconds
	 * @return the measured throughput and latencies
	 */
	Result runClosedLoop(double seconds) {
		AtomicInteger next = new AtomicInteger();
		long start = System.nanoTime();
		long end = start + (long) (seconds * 1e9);
		return run(start, (histogram, served, failed) -> {
			while (System.nanoTime() < end) {
				long sent = System.nanoTime();
				recordOutcome(this.call.send(next.getAndIncrement()), sent, histogram, served, failed);
			}
		});
	}

	/**
	 * Plans the arrivals of a Poisson process.
	 * @param rate mean arrivals per second
	 * @param seed seed of the exponential inter-arrival times
	 * @param seconds length of the plan, in seconds
	 * @return arrival times in nanoseconds from the start, ascending
	 */
	static long[] planArrivals(double rate, long seed, double seconds) {
		Random random = new Random(seed);
		long[] plan = new long[(int) Math.round(rate * seconds)];
		double at = 0;
		for (int i = 0; i < plan.length; i++) {
			at += -Math.log(1 - random.nextDouble()) / rate;
			plan[i] = (long) (at * 1e9);
		}
		return plan;
	}

	private static void recordOutcome(long units, long from, Histogram histogram, AtomicLong served,
			AtomicLong failed) {
		if (units < 0) {
			failed.incrementAndGet();
			return;
		}
		served.addAndGet(units);
		histogram.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(1, (System.nanoTime() - from) / 1_000)));
	}

	private Result run(long start, Worker worker) {
		Histogram all = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
		AtomicLong served = new AtomicLong();
		AtomicLong failed = new AtomicLong();
		CountDownLatch done = new CountDownLatch(this.threads);
		for (int i = 0; i < this.threads; i++) {
			Thread thread = new Thread(() -> {
				Histogram own = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
				try {
					worker.work(own, served, failed);
				}
				finally {
					synchronized (all) {
						all.add(own);
					}
					done.countDown();
				}
			}, "load-" + i);
			thread.setDaemon(true);
			thread.start();
		}
		try {
			done.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return new Result(all, served.get(), failed.get(), (System.nanoTime() - start) / 1e9);
	}

	/**
	 * Sends one request.
	 */
	@FunctionalInterface
	interface Call {

		/**
		 * Sends a request and reads the complete response.
		 * @param index number of the request in its run
		 * @return number of served units (requests or tokens), or a negative number if
		 * the response was truncated or not successful
		 */
		long send(int index);

	}

	@FunctionalInterface
	private interface Worker {

		void work(Histogram histogram, AtomicLong served, AtomicLong failed);

	}

	/**
	 * Measurements of a run.
	 *
	 * @param histogram latencies of successful requests, in microseconds
	 * @param units number of served requests or tokens
	 * @param failed number of failed requests
	 * @param seconds duration of the run, in seconds
	 */
	record Result(Histogram histogram, long units, long failed, double seconds) {

		double rate() {
			return this.units / this.seconds;
		}

		double millisAt(double percentile) {
			return this.histogram.getValueAtPercentile(percentile) / 1_000.0;
		}

	}

}
