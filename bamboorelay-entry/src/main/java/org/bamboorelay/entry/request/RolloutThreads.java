package org.bamboorelay.entry.request;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The threads of rollouts.
 * <p>
 * Thread-safe.
 *
 * @param samples runs one task for each running sample
 * @param work runs short tasks that wait for the object API or for peers
 * @param timer runs tasks later
 */
public record RolloutThreads(Executor samples, Executor work, Timer timer) {

	/** Fetches and second copies that may wait for a thread. */
	private static final int WORK_QUEUE = 4_096;

	private static final long IDLE_SECONDS = 30;

	/**
	 * Creates executors of the JDK with daemon threads.
	 * @param maxSamples the most samples that run at once on this host
	 * @param maxWork the most short tasks that run at once
	 * @return the threads
	 */
	public static RolloutThreads of(int maxSamples, int maxWork) {
		ThreadPoolExecutor samples = new ThreadPoolExecutor(maxSamples, maxSamples, IDLE_SECONDS, TimeUnit.SECONDS,
				new LinkedBlockingQueue<>(), (task) -> daemon("sample", task));
		samples.allowCoreThreadTimeOut(true);
		ThreadPoolExecutor work = new ThreadPoolExecutor(maxWork, maxWork, IDLE_SECONDS, TimeUnit.SECONDS,
				new ArrayBlockingQueue<>(WORK_QUEUE), (task) -> daemon("rollout-work", task));
		work.allowCoreThreadTimeOut(true);
		ScheduledExecutorService timer = Executors
			.newSingleThreadScheduledExecutor((task) -> daemon("rollout-timer", task));
		return new RolloutThreads(samples, work,
				(task, delayMillis) -> timer.schedule(task, delayMillis, TimeUnit.MILLISECONDS));
	}

	private static Thread daemon(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		return thread;
	}

	/**
	 * Runs tasks later.
	 */
	@FunctionalInterface
	public interface Timer {

		/**
		 * Runs a task after a delay.
		 * @param task must not block
		 * @param delayMillis the delay, in milliseconds
		 */
		void after(Runnable task, long delayMillis);

	}

}
