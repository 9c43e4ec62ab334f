package org.bamboorelay.host.request;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.HttpListener;
import org.jspecify.annotations.Nullable;

/**
 * Notices callers that leave while their request runs, and breaks the request off.
 * <p>
 * Thread-safe.
 */
public final class CallerWatch {

	/** How often callers are looked at, in milliseconds. */
	public static final long TICK_MILLIS = 150;

	private final Set<Watched> requests = ConcurrentHashMap.newKeySet();

	private final EventLog log;

	/**
	 * Creates a watch.
	 * @param log the log of the process
	 */
	public CallerWatch(EventLog log) {
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Watches the caller of a request until the result is closed.
	 * @param responder answers the request
	 * @return the watched request
	 */
	public Watched watch(HttpListener.Responder responder) {
		Watched watched = new Watched(responder);
		this.requests.add(watched);
		return watched;
	}

	/**
	 * Looks at all callers once.
	 */
	public void tick() {
		this.requests.forEach(Watched::look);
	}

	/**
	 * A request whose caller is watched.
	 * <p>
	 * Thread-safe; guarded by its own lock.
	 */
	public final class Watched implements AutoCloseable {

		private final HttpListener.Responder responder;

		private @Nullable Runnable abort;

		private boolean ended;

		private boolean gone;

		private boolean young = true;

		private Watched(HttpListener.Responder responder) {
			this.responder = responder;
		}

		/**
		 * Sets what breaks the present attempt off.
		 * @param task the task
		 */
		public synchronized void onAbort(Runnable task) {
			this.abort = task;
			if (this.gone) {
				task.run();
			}
		}

		/**
		 * Ends the watch, so that the answer may be written.
		 * @return whether the caller had left
		 */
		public synchronized boolean end() {
			this.ended = true;
			CallerWatch.this.requests.remove(this);
			return this.gone;
		}

		/**
		 * Tells whether the caller has left.
		 * @return whether it was seen to be gone
		 */
		public synchronized boolean isGone() {
			return this.gone;
		}

		@Override
		public void close() {
			end();
		}

		// The first look is skipped, as most requests end before the second one.
		private synchronized void look() {
			if (this.young) {
				this.young = false;
				return;
			}
			if (this.ended || this.gone || !this.responder.isCallerGone()) {
				return;
			}
			this.gone = true;
			CallerWatch.this.log.info("caller-left");
			if (this.abort != null) {
				this.abort.run();
			}
		}

	}

}
