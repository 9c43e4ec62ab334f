package org.bamboorelay.entry.connection;

import org.jspecify.annotations.Nullable;

/**
 * Ends a stream from another thread. An abort after the end does nothing, since the
 * connection may then carry another exchange.
 * <p>
 * Thread-safe.
 */
public final class StreamAbort {

	private @Nullable Runnable task;

	private boolean aborted;

	/**
	 * Notes how the stream is ended.
	 * @param closing closes the connection at once
	 */
	public synchronized void start(Runnable closing) {
		this.task = closing;
	}

	/**
	 * Ends the stream unless it has ended.
	 */
	public synchronized void abort() {
		if (this.task != null) {
			this.aborted = true;
			this.task.run();
		}
	}

	/**
	 * Notes that the stream ended. To be called before its connection is used again.
	 */
	public synchronized void end() {
		this.task = null;
	}

	/**
	 * Tells whether the stream was ended by {@link #abort()}.
	 * @return whether it was
	 */
	public synchronized boolean isAborted() {
		return this.aborted;
	}

}
