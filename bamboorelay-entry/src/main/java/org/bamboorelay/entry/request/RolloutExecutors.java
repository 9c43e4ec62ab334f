package org.bamboorelay.entry.request;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The executors of rollouts.
 * <p>
 * Thread-safe.
 *
 * @param samples runs one task per sample
 * @param shortTasks runs short tasks that may block on the object API or on peers
 * @param timer runs delayed tasks
 */
public record RolloutExecutors(Executor samples, Executor shortTasks, Timer timer) {

	/** Capacity of the queue of short tasks, such as fetches and sample replication. */
	private static final int WORK_QUEUE_CAPACITY = 4_096;

	private static final long IDLE_TIMEOUT_SECONDS = 30;

	/**
	 * Creates JDK thread pools with daemon threads.
	 * @param maxSamples the maximum number of concurrent samples of this host
	 * @param maxShortTasks the maximum number of concurrent short tasks
	 * @return the executors
	 */
	public static RolloutExecutors of(int maxSamples, int maxShortTasks) {
		ThreadPoolExecutor samples = new ThreadPoolExecutor(maxSamples, maxSamples, IDLE_TIMEOUT_SECONDS,
				TimeUnit.SECONDS, new LinkedBlockingQueue<>(), (task) -> daemonThread("sample", task));
		samples.allowCoreThreadTimeOut(true);
		ThreadPoolExecutor shortTasks = new ThreadPoolExecutor(maxShortTasks, maxShortTasks, IDLE_TIMEOUT_SECONDS,
				TimeUnit.SECONDS, new ArrayBlockingQueue<>(WORK_QUEUE_CAPACITY),
				(task) -> daemonThread("rollout-work", task));
		shortTasks.allowCoreThreadTimeOut(true);
		ScheduledExecutorService timer = Executors
			.newSingleThreadScheduledExecutor((task) -> daemonThread("rollout-timer", task));
		return new RolloutExecutors(samples, shortTasks,
				(task, delayMillis) -> timer.schedule(task, delayMillis, TimeUnit.MILLISECONDS));
	}

	private static Thread daemonThread(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		return thread;
	}

	/**
	 * Runs delayed tasks.
	 *
	 */
	@FunctionalInterface
	public interface Timer {

		/**
		 * Runs a task after a delay.
		 * @param task the task, which must not block
		 * @param delayMillis the delay, in milliseconds
		 */
		void runAfter(Runnable task, long delayMillis);

	}

}
