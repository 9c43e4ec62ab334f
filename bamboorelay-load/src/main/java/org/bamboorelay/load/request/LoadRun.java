package org.bamboorelay.load.request;

import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.Histogram;

/**
 * Sends a load from a fixed number of threads. In an open loop arrivals are planned ahead
 * and do not wait for answers, and latency counts from the planned arrival, so that a
 * stall of the server is not hidden by requests that were not sent (coordinated
 * omission). In a closed loop each thread sends its next request after its answer.
 * <p>
 * Each run is used by one thread, which waits for the run's own threads.
 */
final class LoadRun {

	private static final long HIGHEST_MICROS = 60_000_000;

	private static final int DIGITS = 3;

	private final int threads;

	private final Call call;

	LoadRun(int threads, Call call) {
		this.threads = threads;
		this.call = call;
	}

	/**
	 * Sends requests at planned times.
	 * @param rate mean arrivals a second
	 * @param seed seed of the exponential gaps
	 * @param seconds length of the run
	 * @return what was measured
	 */
	Result open(double rate, long seed, double seconds) {
		long[] plan = arrivals(rate, seed, seconds);
		AtomicInteger next = new AtomicInteger();
		long start = System.nanoTime();
		return run(start, (histogram, good, failed) -> {
			int index;
			while ((index = next.getAndIncrement()) < plan.length) {
				long planned = start + plan[index];
				long wait;
				while ((wait = planned - System.nanoTime()) > 0) {
					LockSupport.parkNanos(wait);
				}
				count(this.call.send(index), planned, histogram, good, failed);
			}
		});
	}

	/**
	 * Sends requests as fast as they are answered.
	 * @param seconds length of the run
	 * @return what was measured
	 */
	Result closed(double seconds) {
		AtomicInteger next = new AtomicInteger();
		long start = System.nanoTime();
		long end = start + (long) (seconds * 1e9);
		return run(start, (histogram, good, failed) -> {
			while (System.nanoTime() < end) {
				long sent = System.nanoTime();
				count(this.call.send(next.getAndIncrement()), sent, histogram, good, failed);
			}
		});
	}

	/**
	 * Plans the arrivals of a Poisson process.
	 * @param rate mean arrivals a second
	 * @param seed seed of the gaps
	 * @param seconds length of the plan
	 * @return nanoseconds from the start, rising
	 */
	static long[] arrivals(double rate, long seed, double seconds) {
		Random random = new Random(seed);
		long[] plan = new long[(int) Math.round(rate * seconds)];
		double at = 0;
		for (int i = 0; i < plan.length; i++) {
			at += -Math.log(1 - random.nextDouble()) / rate;
			plan[i] = (long) (at * 1e9);
		}
		return plan;
	}

	private static void count(long units, long from, Histogram histogram, AtomicLong good, AtomicLong failed) {
		if (units < 0) {
			failed.incrementAndGet();
			return;
		}
		good.addAndGet(units);
		histogram.recordValue(Math.min(HIGHEST_MICROS, Math.max(1, (System.nanoTime() - from) / 1_000)));
	}

	private Result run(long start, Worker worker) {
		Histogram all = new Histogram(HIGHEST_MICROS, DIGITS);
		AtomicLong good = new AtomicLong();
		AtomicLong failed = new AtomicLong();
		CountDownLatch done = new CountDownLatch(this.threads);
		for (int i = 0; i < this.threads; i++) {
			Thread thread = new Thread(() -> {
				Histogram own = new Histogram(HIGHEST_MICROS, DIGITS);
				try {
					worker.work(own, good, failed);
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
		return new Result(all, good.get(), failed.get(), (System.nanoTime() - start) / 1e9);
	}

	/**
	 * Sends one request.
	 */
	@FunctionalInterface
	interface Call {

		/**
		 * Sends a request and reads the whole answer.
		 * @param index number of the request in its run
		 * @return how many units were served (requests or tokens); negative where the
		 * answer was not whole or had another status
		 */
		long send(int index);

	}

	@FunctionalInterface
	private interface Worker {

		void work(Histogram histogram, AtomicLong good, AtomicLong failed);

	}

	/**
	 * What a run measured.
	 *
	 * @param histogram latency in microseconds
	 * @param units requests or tokens that were served
	 * @param failed requests that failed
	 * @param seconds how long the run took
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
