package org.bamboorelay.entry.connection;

import org.jspecify.annotations.Nullable;

/**
 * Aborts a stream from another thread. An abort after the end of the stream has no
 * effect, since the connection may already be used by another exchange.
 * <p>
 * Thread-safe.
 */
public final class StreamAbort {

	private @Nullable Runnable task;

	private boolean aborted;

	/**
	 * Sets the task that ends the stream.
	 * @param closeTask closes the connection immediately
	 */
	public synchronized void start(Runnable closeTask) {
		this.task = closeTask;
	}

	/**
	 * Aborts the stream unless it has ended.
	 */
	public synchronized void abort() {
		if (this.task != null) {
			this.aborted = true;
			this.task.run();
		}
	}

	/**
	 * Marks the stream as ended. To be called before its connection is reused.
	 */
	public synchronized void end() {
		this.task = null;
	}

	/**
	 * Returns whether the stream was aborted.
	 * @return whether {@link #abort()} ended the stream
	 */
	public synchronized boolean isAborted() {
		return this.aborted;
	}

}
