package org.bamboorelay.host.request;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.HttpListener;
import org.jspecify.annotations.Nullable;

/**
 * Detects callers that disconnect while their request runs, and aborts the request.
 * <p>
 * Thread-safe.
 */
public final class CallerMonitor {

	/** Interval between two checks of all callers, in milliseconds. */
	public static final long CHECK_INTERVAL_MILLIS = 150;

	private final Set<MonitoredRequest> requests = ConcurrentHashMap.newKeySet();

	private final EventLog log;

	/**
	 * Creates a monitor.
	 * @param log the log of the process
	 */
	public CallerMonitor(EventLog log) {
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Monitors the caller of a request until the returned object is closed.
	 * @param responder the responder of the request
	 * @return the monitored request
	 */
	public MonitoredRequest monitor(HttpListener.Responder responder) {
		MonitoredRequest monitoredRequest = new MonitoredRequest(responder);
		this.requests.add(monitoredRequest);
		return monitoredRequest;
	}

	/**
	 * Checks all callers once.
	 */
	public void checkAll() {
		this.requests.forEach(MonitoredRequest::check);
	}

	/**
	 * A request whose caller is monitored.
	 * <p>
	 * Thread-safe; guarded by its own lock.
	 */
	public final class MonitoredRequest implements AutoCloseable {

		private final HttpListener.Responder responder;

		private @Nullable Runnable abort;

		private boolean ended;

		private boolean disconnected;

		private boolean firstCheckPending = true;

		private MonitoredRequest(HttpListener.Responder responder) {
			this.responder = responder;
		}

		/**
		 * Sets the task that aborts the current attempt. Runs it at once if the caller
		 * has already disconnected.
		 * @param task aborts the attempt
		 */
		public synchronized void onAbort(Runnable task) {
			this.abort = task;
			if (this.disconnected) {
				task.run();
			}
		}

		/**
		 * Stops monitoring, so that the response may be written.
		 * @return whether the caller had disconnected
		 */
		public synchronized boolean end() {
			this.ended = true;
			CallerMonitor.this.requests.remove(this);
			return this.disconnected;
		}

		/**
		 * Returns whether the caller has disconnected.
		 * @return whether a check found the connection closed
		 */
		public synchronized boolean isDisconnected() {
			return this.disconnected;
		}

		@Override
		public void close() {
			end();
		}

		// Skips the first check, as most requests end before the second one.
		private synchronized void check() {
			if (this.firstCheckPending) {
				this.firstCheckPending = false;
				return;
			}
			if (this.ended || this.disconnected || !this.responder.isCallerGone()) {
				return;
			}
			this.disconnected = true;
			CallerMonitor.this.log.info("caller-left");
			if (this.abort != null) {
				this.abort.run();
			}
		}

	}

}
