package org.bamboorelay.slopes.process;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Measures processor time and memory within bounded time.
 * <p>
 * Used by one thread; nothing else may allocate meanwhile.
 */
final class Meter {

	private static final long WARM_UP_NANOS = 150_000_000L;

	private static final long ROUND_NANOS = 25_000_000L;

	private static final int ROUNDS = 5;

	private static final int MAX_OPERATIONS = 200_000;

	/** The serial collector compacts wholly only in each fourth full collection. */
	private static final int GC_RUNS = 5;

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	/** Keeps what is weighed reachable until it was weighed. */
	private static volatile Object kept = "";

	private Meter() {
	}

	/**
	 * Measures an operation. Garbage collection runs on another thread and is left out.
	 * @param operation the operation
	 * @return the median over several rounds, in microseconds of processor time
	 */
	static double micros(Runnable operation) {
		run(operation, WARM_UP_NANOS);
		double[] rounds = new double[ROUNDS];
		for (int i = 0; i < ROUNDS; i++) {
			rounds[i] = run(operation, ROUND_NANOS);
		}
		Arrays.sort(rounds);
		return rounds[ROUNDS / 2];
	}

	/**
	 * Weighs a value.
	 * @param factory makes the value
	 * @return the memory that it keeps, in bytes
	 */
	static double bytes(Supplier<?> factory) {
		// The first instance loads classes and fills caches that all instances share.
		kept = factory.get();
		kept = "";
		long before = used();
		kept = factory.get();
		long after = used();
		kept = "";
		return Math.max(0, after - before);
	}

	private static double run(Runnable operation, long nanos) {
		long start = THREADS.getCurrentThreadCpuTime();
		long spent = 0;
		int count = 0;
		while (spent < nanos && count < MAX_OPERATIONS) {
			// Reading the clock for each operation would count as part of a short one.
			int batch = (spent == 0) ? 1 : (int) Math.max(1, Math.min(64, (long) count * ROUND_NANOS / (8 * spent)));
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
