package org.bamboorelay.slopes.process;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Measures the processor time and memory of operations, for a bounded time each.
 * <p>
 * Not thread-safe; no other thread may allocate memory during a measurement.
 */
final class CostMeter {

	private static final long WARM_UP_NANOS = 150_000_000L;

	private static final long MIN_ROUND_NANOS = 25_000_000L;

	private static final int ROUNDS = 5;

	private static final int MAX_OPERATIONS = 200_000;

	/**
	 * The serial collector compacts the heap completely only in every fourth full
	 * collection.
	 */
	private static final int GC_RUNS = 5;

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	/** Keeps the measured value reachable during the measurement. */
	private static volatile Object retained = "";

	private CostMeter() {
	}

	/**
	 * Measures the processor time of an operation, excluding garbage collection, which
	 * runs on another thread.
	 * @param operation the operation
	 * @return median over {@value #ROUNDS} rounds, in microseconds of processor time per
	 * operation
	 */
	static double cpuMicros(Runnable operation) {
		run(operation, WARM_UP_NANOS);
		double[] rounds = new double[ROUNDS];
		for (int i = 0; i < ROUNDS; i++) {
			rounds[i] = run(operation, MIN_ROUND_NANOS);
		}
		Arrays.sort(rounds);
		return rounds[ROUNDS / 2];
	}

	/**
	 * Measures the heap memory retained by a value.
	 * @param factory creates the value
	 * @return the retained memory, in bytes
	 */
	static double retainedBytes(Supplier<?> factory) {
		// The first instance loads classes and fills caches shared by all instances.
		retained = factory.get();
		retained = "";
		long before = used();
		retained = factory.get();
		long after = used();
		retained = "";
		return Math.max(0, after - before);
	}

	private static double run(Runnable operation, long nanos) {
		long start = THREADS.getCurrentThreadCpuTime();
		long spent = 0;
		int count = 0;
		while (spent < nanos && count < MAX_OPERATIONS) {
			// Batches operations, since reading the clock would distort the time of short
			// ones.
			int batch = (spent == 0) ? 1
					: (int) Math.max(1, Math.min(64, (long) count * MIN_ROUND_NANOS / (8 * spent)));
			for (int i = 0; i < batch; i++) {
				operation.run();
			}
			count += batch;
			spent = Math.max(1, THREADS.getCurrentThreadCpuTime() - start);
		}
		return spent / 1_000.0 / count;
	}

	private static long used() {
		for (int i = 0; i < GC_RUNS; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
