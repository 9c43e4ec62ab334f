package org.bamboorelay.host.request;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * The first run of a request and its hedged copy. The first run that gets a complete
 * response with a status below 500 wins, and the other one is cancelled.
 * <p>
 * Thread-safe; guarded by its own lock. Tasks that abort a run are executed under it.
 */
final class HedgeRace {

	private static final int STATUS_SERVER_ERROR = 500;

	private final Run first = new Run();

	private final Run copy = new Run();

	private final Runnable onLingering;

	private final Runnable onLingeringEnded;

	private final Runnable onExtraRun;

	private @Nullable String copyEndpoint;

	private @Nullable Run winner;

	private boolean cancelled;

	private boolean closed;

	/**
	 * Creates a race whose first run begins.
	 * @param onLingering called when a run was cancelled that has not ended
	 * @param onLingeringEnded called when such a run has ended
	 * @param onExtraRun called once both runs have ended, if both may have been executed
	 */
	HedgeRace(Runnable onLingering, Runnable onLingeringEnded, Runnable onExtraRun) {
		this.onLingering = Objects.requireNonNull(onLingering, "onLingering");
		this.onLingeringEnded = Objects.requireNonNull(onLingeringEnded, "onLingeringEnded");
		this.onExtraRun = Objects.requireNonNull(onExtraRun, "onExtraRun");
		this.first.active = true;
	}

	/**
	 * Returns the first run.
	 * @return the run
	 */
	Run first() {
		return this.first;
	}

	/**
	 * Returns the copy.
	 * @return the run
	 */
	Run copy() {
		return this.copy;
	}

	/**
	 * Begins the copy.
	 * @param endpoint the endpoint to which it is sent
	 * @return whether the copy may be sent; false if the first run has ended or the
	 * caller has disconnected
	 */
	synchronized boolean beginCopy(String endpoint) {
		if (!isOpen()) {
			return false;
		}
		this.copyEndpoint = endpoint;
		this.copy.active = true;
		return true;
	}

	/**
	 * Returns whether the copy may still begin.
	 * @return whether the first run goes on and the caller has not disconnected
	 */
	synchronized boolean isOpen() {
		return !this.closed && !this.cancelled && this.first.active;
	}

	/**
	 * Cancels both runs, because the caller has disconnected.
	 */
	synchronized void cancelAll() {
		this.cancelled = true;
		cancel(this.first);
		cancel(this.copy);
	}

	/**
	 * Waits until the outcome is decided, after the first run has ended.
	 * @param maxWaitMillis the maximum wait for the copy, in milliseconds
	 * @return the result of the winner, or the more uncertain result if there is none
	 */
	synchronized CallResult await(long maxWaitMillis) {
		this.closed = true;
		CallResult firstResult = Objects.requireNonNull(this.first.result, "the first run has not ended");
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxWaitMillis);
		try {
			while (this.winner == null && this.copy.active && !this.cancelled) {
				long waitMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
				if (waitMillis <= 0) {
					break;
				}
				wait(waitMillis);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		if (this.winner != null) {
			return Objects.requireNonNull(this.winner.result);
		}
		cancel(this.copy);
		if (this.copy.active) {
			// The copy may have been executed, whatever became of the first run.
			return CallResult.mostUncertain(firstResult, new CallResult.Unknown("endpoint-broke", true));
		}
		return (this.copy.result != null) ? CallResult.mostUncertain(firstResult, this.copy.result) : firstResult;
	}

	/**
	 * Returns the endpoint that got the copy.
	 * @return the endpoint; null if no copy was sent
	 */
	synchronized @Nullable String copyEndpoint() {
		return this.copyEndpoint;
	}

	/**
	 * Returns whether a run won.
	 * @return whether a run got a response with a status below 500
	 */
	synchronized boolean hasWinner() {
		return this.winner != null;
	}

	/**
	 * Returns whether the copy won.
	 * @return whether the response of the copy is the result
	 */
	synchronized boolean isCopyWinner() {
		return this.winner == this.copy;
	}

	private void cancel(Run run) {
		if (!run.active || run.isCancelled) {
			return;
		}
		run.isCancelled = true;
		this.onLingering.run();
		if (run.abort != null) {
			run.abort.run();
		}
	}

	private static boolean mayHaveRun(@Nullable CallResult result) {
		return result != null && !(result instanceof CallResult.NotRun);
	}

	/**
	 * One of the two runs.
	 */
	final class Run implements AttemptObserver {

		private boolean active;

		private boolean isCancelled;

		private boolean droppedUnsent;

		private @Nullable Runnable abort;

		private @Nullable CallResult result;

		@Override
		public void onConnecting(Runnable abort) {
			onConnected(abort);
		}

		@Override
		public void onConnected(Runnable abort) {
			synchronized (HedgeRace.this) {
				if (this.isCancelled) {
					this.droppedUnsent = true;
					abort.run();
				}
				else {
					this.abort = abort;
				}
			}
		}

		@Override
		public void onResponseRead() {
			synchronized (HedgeRace.this) {
				this.abort = null;
			}
		}

		@Override
		public boolean isCancelled() {
			synchronized (HedgeRace.this) {
				return this.isCancelled;
			}
		}

		/**
		 * Ends the run.
		 * @param outcome the result of the run
		 */
		void end(CallResult outcome) {
			synchronized (HedgeRace.this) {
				if (!this.active) {
					throw new IllegalStateException("run has ended before, now with " + outcome);
				}
				this.active = false;
				this.abort = null;
				this.result = this.droppedUnsent ? new CallResult.NotRun("cancelled", 0) : outcome;
				if (this.isCancelled) {
					HedgeRace.this.onLingeringEnded.run();
				}
				Run other = (this == HedgeRace.this.first) ? HedgeRace.this.copy : HedgeRace.this.first;
				if (HedgeRace.this.winner == null && outcome instanceof CallResult.Responded responded
						&& responded.response().status() < STATUS_SERVER_ERROR) {
					HedgeRace.this.winner = this;
					cancel(other);
				}
				if (!other.active && mayHaveRun(this.result) && mayHaveRun(other.result)) {
					HedgeRace.this.onExtraRun.run();
				}
				HedgeRace.this.notifyAll();
			}
		}

	}

}
