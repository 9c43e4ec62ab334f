package org.bamboorelay.host.process;

import java.util.concurrent.TimeUnit;

/**
 * Runs one iteration of a loop that is essential for a host. A failed iteration is
 * logged, and the loop continues.
 * <p>
 * Stateless and thread-safe.
 */
public final class LoopGuard {

	/**
	 * Delay after a failed iteration, in milliseconds, so that a failing loop does not
	 * spin.
	 */
	private static final long FAILURE_DELAY_MILLIS = 200;

	private LoopGuard() {
	}

	/**
	 * Runs an iteration. An exception is logged and followed by a delay.
	 * @param log the log of the process
	 * @param loop the name of the loop, for the log
	 * @param iteration the iteration
	 */
	public static void run(EventLog log, String loop, Runnable iteration) {
		try {
			iteration.run();
		}
		catch (RuntimeException ex) {
			StackTraceElement[] stack = ex.getStackTrace();
			log.warn("step-failed", "loop", loop, "error", ex.toString(), "at",
					(stack.length > 0) ? stack[0].toString() : "");
			try {
				TimeUnit.MILLISECONDS.sleep(FAILURE_DELAY_MILLIS);
			}
			catch (InterruptedException interrupted) {
				Thread.currentThread().interrupt();
			}
		}
	}

}
