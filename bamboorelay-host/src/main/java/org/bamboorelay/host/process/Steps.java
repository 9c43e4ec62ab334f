package org.bamboorelay.host.process;

import java.util.concurrent.TimeUnit;

/**
 * Runs one step of a loop that a host cannot do without. A step that fails leaves a line,
 * and the loop goes on.
 * <p>
 * Stateless and thread-safe.
 */
public final class Steps {

	/** Pause after a step that failed, in milliseconds, so that no loop spins. */
	private static final long PAUSE_MILLIS = 200;

	private Steps() {
	}

	/**
	 * Runs a step.
	 * @param log the log of the process
	 * @param loop the loop, for the log
	 * @param step the step
	 */
	public static void run(EventLog log, String loop, Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException ex) {
			StackTraceElement[] stack = ex.getStackTrace();
			log.warn("step-failed", "loop", loop, "error", ex.toString(), "at",
					(stack.length > 0) ? stack[0].toString() : "");
			try {
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
			}
			catch (InterruptedException interrupted) {
				Thread.currentThread().interrupt();
			}
		}
	}

}
