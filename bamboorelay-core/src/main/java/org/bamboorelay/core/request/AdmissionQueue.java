package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Predicate;

import io.vavr.control.Either;
import org.bamboorelay.core.version.Rules;
import org.jspecify.annotations.Nullable;

/**
 * Orders the requests that wait for one service. Interactive requests precede rollout
 * requests. Within a class, requests are ordered by priority level; within a level, by
 * the tokens served to each workspace divided by its weight (weighted fair queueing).
 * Levels below the highest waiting one have a guaranteed share. The queue is bounded in
 * length and in expected wait.
 * <p>
 * A full queue makes room for a request of a higher level by evicting requests of a lower
 * one, as long as the lower level keeps its guaranteed part of the queue. It makes room
 * for a workspace below its fair share by evicting the newest request of the workspace
 * that exceeds its share the most.
 * <p>
 * Not thread-safe; guarded by the shard of the service.
 */
public final class AdmissionQueue {

	/** Minimum Retry-After, also used while no drain rate is known, in milliseconds. */
	private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

	private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

	private final DrainRate rate = new DrainRate();

	private final ClassQueue interactive = new ClassQueue();

	private final ClassQueue rollout = new ClassQueue();

	private final TreeMap<Long, Ticket> arrivals = new TreeMap<>();

	private Limits limits;

	private Levels levels = Levels.NONE;

	private boolean fair = true;

	private int size;

	private long nextSequence;

	private AdmissionQueue(Limits limits) {
		this.limits = limits;
	}

	/**
	 * Creates an empty queue.
	 * @param limits the limits
	 * @return the queue
	 */
	public static AdmissionQueue of(Limits limits) {
		return new AdmissionQueue(Objects.requireNonNull(limits, "limits"));
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Changes the limits. Requests that are already queued stay.
	 * @param newLimits the limits
	 */
	public void limits(Limits newLimits) {
		this.limits = Objects.requireNonNull(newLimits, "newLimits");
	}

	/**
	 * Changes the priority levels. Requests that are already queued move to their new
	 * level.
	 * @param newLevels the levels
	 */
	public void levels(Levels newLevels) {
		Objects.requireNonNull(newLevels, "newLevels");
		if (newLevels.equals(this.levels)) {
			return;
		}
		this.levels = newLevels;
		this.interactive.resetDeficits();
		this.rollout.resetDeficits();
		this.arrivals.values()
			.forEach((ticket) -> classQueue(ticket.request).move(ticket, workspaceQueue(ticket.request)));
	}

	/**
	 * Switches between fair queueing and the baseline policy {@code first-come}.
	 * @param on true for fair queueing, false for first come, first served
	 */
	public void fair(boolean on) {
		this.fair = on;
	}

	/**
	 * Adds a request, unless its expected wait exceeds the limit or the queue is full and
	 * holds no request that may be evicted for it.
	 * @param request the request
	 * @param nowMillis the current time, in milliseconds
	 * @return the queued request, or the overload that prevents it from being queued
	 */
	public Either<Overload, Admission> offer(Request request, long nowMillis) {
		advance(nowMillis);
		LevelQueue.WorkspaceQueue workspaceQueue = workspaceQueue(request);
		long wait = expectedWait(request, workspaceQueue);
		long maxWait = request.interactive() ? this.limits.maxWaitInteractiveMillis()
				: this.limits.maxWaitRolloutMillis();
		if (wait > maxWait) {
			return Either.left(new Overload(retryAfter(wait - maxWait)));
		}
		Ticket evicted = null;
		if (this.size >= this.limits.maxQueued()) {
			evicted = this.fair ? evictionCandidate(request, workspaceQueue) : null;
			if (evicted == null) {
				return Either.left(new Overload(retryAfter(wait)));
			}
			remove(evicted);
		}
		Ticket ticket = new Ticket(request, workspaceQueue, this.nextSequence++, nowMillis, nowMillis + maxWait);
		classQueue(request).add(ticket);
		this.arrivals.put(ticket.sequence, ticket);
		this.size++;
		return Either.right(new Admission(ticket, evicted));
	}

	/**
	 * Removes the next request and charges its expected tokens to its workspace.
	 * @param servable tests whether a request can be served now; requests that cannot
	 * keep their position
	 * @param nowMillis the current time, in milliseconds
	 * @return the request, or null if none can be served
	 */
	public @Nullable Ticket poll(Predicate<Request> servable, long nowMillis) {
		advance(nowMillis);
		Ticket ticket;
		if (this.fair) {
			ticket = this.interactive.take(servable);
			ticket = (ticket != null) ? ticket : this.rollout.take(servable);
		}
		else {
			ticket = this.arrivals.values()
				.stream()
				.filter((entry) -> servable.test(entry.request))
				.findFirst()
				.orElse(null);
			if (ticket != null) {
				classQueue(ticket.request).removeAndCharge(ticket);
			}
		}
		if (ticket == null) {
			return null;
		}
		this.arrivals.remove(ticket.sequence);
		this.size--;
		// A request that passes through an empty queue without waiting gives no
		// information about the drain rate.
		ticket.countedAsDrained = this.size > 0 || nowMillis > ticket.offeredMillis;
		if (ticket.countedAsDrained) {
			this.rate.drained();
			ticket.workspaceQueue.levelQueue().rate().drained();
		}
		return ticket;
	}

	/**
	 * Requeues a request that was polled but could not be served. It goes to the head of
	 * its workspace, and the tokens that it was charged are refunded.
	 * @param ticket the request
	 */
	public void requeue(Ticket ticket) {
		if (ticket.countedAsDrained) {
			this.rate.undoDrained();
			ticket.workspaceQueue.levelQueue().rate().undoDrained();
		}
		classQueue(ticket.request).requeue(ticket, workspaceQueue(ticket.request));
		this.arrivals.put(ticket.sequence, ticket);
		this.size++;
	}

	/**
	 * Replaces the expected cost charged for a polled request by its actual cost.
	 * @param ticket the request
	 * @param tokens the number of tokens that were served
	 */
	public void correctCost(Ticket ticket, long tokens) {
		classQueue(ticket.request).correctCost(ticket, tokens - ticket.request.expectedTokens());
	}

	/**
	 * Removes a waiting request.
	 * @param ticket the request
	 * @return false if it was no longer waiting
	 */
	public boolean remove(Ticket ticket) {
		if (!ticket.waiting) {
			return false;
		}
		classQueue(ticket.request).remove(ticket);
		this.arrivals.remove(ticket.sequence);
		this.size--;
		return true;
	}

	/**
	 * Removes the requests that match a condition, such as those past their deadline.
	 * @param condition the condition
	 * @return the removed requests
	 */
	public List<Ticket> removeIf(Predicate<Ticket> condition) {
		List<Ticket> removed = new ArrayList<>();
		for (Iterator<Ticket> tickets = this.arrivals.values().iterator(); tickets.hasNext();) {
			Ticket ticket = tickets.next();
			if (condition.test(ticket)) {
				tickets.remove();
				classQueue(ticket.request).remove(ticket);
				this.size--;
				removed.add(ticket);
			}
		}
		return removed;
	}

	/**
	 * Estimates after how long a refused request should be retried.
	 * @return the time in which the whole queue drains at the measured rate, in
	 * milliseconds
	 */
	public long retryAfterMillis() {
		double perMillisecond = this.rate.perMillisecond();
		return retryAfter((perMillisecond > 0) ? (long) (this.size / perMillisecond) : 0);
	}

	/**
	 * Estimates after how long a request that timed out in the queue or was evicted
	 * should be retried.
	 * @param request the request
	 * @return the expected wait of a similar request, but at least the time in which the
	 * whole queue drains, in milliseconds
	 */
	public long retryAfterMillis(Request request) {
		return Math.max(retryAfterMillis(), retryAfter(expectedWait(request, workspaceQueue(request))));
	}

	private void advance(long nowMillis) {
		this.rate.advance(nowMillis, this.size > 0);
		this.interactive.advance(nowMillis);
		this.rollout.advance(nowMillis);
	}

	private long expectedWait(Request request, LevelQueue.WorkspaceQueue workspaceQueue) {
		double perMillisecond = this.rate.perMillisecond();
		if (perMillisecond <= 0) {
			return 0;
		}
		if (!this.fair) {
			return (long) (this.size / perMillisecond);
		}
		double interactiveWait = request.interactive() ? 0 : this.interactive.size() / perMillisecond;
		return (long) (interactiveWait + classQueue(request).expectedWait(workspaceQueue, request, perMillisecond));
	}

	private @Nullable Ticket evictionCandidate(Request request, LevelQueue.WorkspaceQueue workspaceQueue) {
		if (request.interactive() && this.rollout.size() > 0) {
			return this.rollout.evictionCandidate(this.limits.maxQueued());
		}
		return classQueue(request).evictionCandidate(workspaceQueue, this.limits.maxQueued());
	}

	private LevelQueue.WorkspaceQueue workspaceQueue(Request request) {
		return classQueue(request).workspaceQueue(request.workspace(), request.weight(), this.levels.of(request));
	}

	private ClassQueue classQueue(Request request) {
		return request.interactive() ? this.interactive : this.rollout;
	}

	private static long retryAfter(long waitMillis) {
		return Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis));
	}

	/**
	 * Limits of a queue.
	 *
	 * @param maxQueued the maximum number of waiting requests
	 * @param maxWaitInteractiveMillis the maximum wait of an interactive request, in
	 * milliseconds
	 * @param maxWaitRolloutMillis the maximum wait of a rollout sample, in milliseconds
	 */
	public record Limits(int maxQueued, long maxWaitInteractiveMillis, long maxWaitRolloutMillis) {

		public Limits {
			if (maxQueued < 1) {
				throw new IllegalArgumentException("maxQueued must be positive: " + maxQueued);
			}
		}

	}

	/**
	 * Priority levels of the workspaces; a higher level is served first.
	 *
	 * @param interactive levels of interactive requests by workspace; a workspace that is
	 * not listed has the default level
	 * @param rollout levels of rollout samples by workspace; a workspace that is not
	 * listed has the default level
	 */
	public record Levels(Map<String, Integer> interactive, Map<String, Integer> rollout) {

		/** The default level for all workspaces. */
		public static final Levels NONE = new Levels(Map.of(), Map.of());

		public Levels {
			interactive = Map.copyOf(interactive);
			rollout = Map.copyOf(rollout);
		}

		private int of(Request request) {
			Map<String, Integer> levels = request.interactive() ? this.interactive : this.rollout;
			return levels.getOrDefault(request.workspace(), Rules.PriorityRule.DEFAULT_LEVEL);
		}

	}

	/**
	 * A request for admission to the service.
	 *
	 * @param workspace the workspace, or any text that stands for callers without one
	 * @param weight the weight of the workspace, positive
	 * @param interactive whether the request is interactive
	 * @param expectedTokens the expected cost, in tokens
	 * @param attachment an opaque object with which the owner of the queue identifies the
	 * request
	 */
	public record Request(String workspace, double weight, boolean interactive, long expectedTokens,
			Object attachment) {

		public Request {
			Objects.requireNonNull(workspace, "workspace");
			if (!(weight > 0)) {
				throw new IllegalArgumentException("weight must be positive: " + weight);
			}
		}

	}

	/**
	 * A refusal because of load.
	 *
	 * @param retryAfterMillis the delay before a retry, in milliseconds
	 */
	public record Overload(long retryAfterMillis) {
	}

	/**
	 * The admission of a request to the queue.
	 *
	 * @param ticket the queued request
	 * @param evicted the request that was evicted to make room and must be refused; null
	 * if none was
	 */
	public record Admission(Ticket ticket, @Nullable Ticket evicted) {
	}

	/**
	 * A queued request, with its position and deadline.
	 */
	public static final class Ticket {

		private final Request request;

		/** The queue in which the request waits or from which it was polled. */
		LevelQueue.WorkspaceQueue workspaceQueue;

		/** Levels below this one accrued their guaranteed share when this was polled. */
		int accrualLevel;

		private final long sequence;

		private final long offeredMillis;

		private final long deadlineMillis;

		boolean waiting;

		private boolean countedAsDrained;

		private Ticket(Request request, LevelQueue.WorkspaceQueue workspaceQueue, long sequence, long offeredMillis,
				long deadlineMillis) {
			this.request = request;
			this.workspaceQueue = workspaceQueue;
			this.sequence = sequence;
			this.offeredMillis = offeredMillis;
			this.deadlineMillis = deadlineMillis;
		}

		Ticket moveTo(LevelQueue.WorkspaceQueue newQueue) {
			this.workspaceQueue = newQueue;
			return this;
		}

		/**
		 * Returns the request.
		 * @return the request
		 */
		public Request request() {
			return this.request;
		}

		/**
		 * Returns the time at which the maximum wait of the request ends.
		 * @return the time, in milliseconds
		 */
		public long deadlineMillis() {
			return this.deadlineMillis;
		}

	}

}
