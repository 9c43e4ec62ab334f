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
 * Orders the requests that wait for one service: interactive before rollout, inside a
 * class by priority level, and inside a level by the tokens that each workspace was
 * served, divided by its weight. Levels below the highest waiting one have a guaranteed
 * share. Bounded in count and in expected wait.
 * <p>
 * A full queue makes room for a higher level by dropping requests of a lower one, down to
 * the lower one's guaranteed part of the places, and for a workspace below its share by
 * dropping the newest request of the workspace that is furthest above its own.
 * <p>
 * Not thread-safe; guarded by the shard of the service.
 */
public final class AdmissionQueue {

	/** Retry-After where no rate was measured yet, in milliseconds. */
	private static final long DEFAULT_RETRY_MILLIS = 1_000;

	private static final long MAX_RETRY_MILLIS = 60_000;

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
	 * Changes the limits; requests that wait already stay.
	 * @param newLimits the limits
	 */
	public void limits(Limits newLimits) {
		this.limits = Objects.requireNonNull(newLimits, "newLimits");
	}

	/**
	 * Changes the priority levels; requests that wait already move to their new level.
	 * @param newLevels the levels
	 */
	public void levels(Levels newLevels) {
		Objects.requireNonNull(newLevels, "newLevels");
		if (newLevels.equals(this.levels)) {
			return;
		}
		this.levels = newLevels;
		this.interactive.forget();
		this.rollout.forget();
		this.arrivals.values().forEach((ticket) -> queue(ticket.demand).move(ticket, lane(ticket.demand)));
	}

	/**
	 * Switches between the policy and its baseline.
	 * @param on false for the baseline {@code first-come}
	 */
	public void fair(boolean on) {
		this.fair = on;
	}

	/**
	 * Adds a request.
	 * @param demand the request
	 * @param nowMillis the time, in milliseconds
	 * @return the place in the queue, or why there is none
	 */
	public Either<Overload, Admission> offer(Demand demand, long nowMillis) {
		advance(nowMillis);
		LevelQueue.Lane lane = lane(demand);
		long wait = expectedWait(demand, lane);
		long maxWait = demand.interactive() ? this.limits.maxWaitInteractiveMillis()
				: this.limits.maxWaitRolloutMillis();
		if (wait > maxWait) {
			return Either.left(new Overload(retryAfter(wait - maxWait)));
		}
		Ticket evicted = null;
		if (this.size >= this.limits.maxQueued()) {
			evicted = this.fair ? victim(demand, lane) : null;
			if (evicted == null) {
				return Either.left(new Overload(retryAfter(wait)));
			}
			remove(evicted);
		}
		Ticket ticket = new Ticket(demand, lane, this.nextSequence++, nowMillis, nowMillis + maxWait);
		queue(demand).add(ticket);
		this.arrivals.put(ticket.sequence, ticket);
		this.size++;
		return Either.right(new Admission(ticket, evicted));
	}

	/**
	 * Takes out the next request and charges its expected tokens to its workspace.
	 * @param servable tells whether a request can be served now; others keep their place
	 * @param nowMillis the time, in milliseconds
	 * @return the request, or null where none can be served
	 */
	public @Nullable Ticket poll(Predicate<Demand> servable, long nowMillis) {
		advance(nowMillis);
		Ticket ticket;
		if (this.fair) {
			ticket = this.interactive.take(servable);
			ticket = (ticket != null) ? ticket : this.rollout.take(servable);
		}
		else {
			ticket = this.arrivals.values()
				.stream()
				.filter((entry) -> servable.test(entry.demand))
				.findFirst()
				.orElse(null);
			if (ticket != null) {
				queue(ticket.demand).takeOut(ticket);
			}
		}
		if (ticket == null) {
			return null;
		}
		this.arrivals.remove(ticket.sequence);
		this.size--;
		// A request that passes an empty queue at once tells nothing about the drain
		// rate.
		ticket.counted = this.size > 0 || nowMillis > ticket.offeredMillis;
		if (ticket.counted) {
			this.rate.drained();
			ticket.lane.queue().rate().drained();
		}
		return ticket;
	}

	/**
	 * Puts a request back that was taken out and could not be served after all. It comes
	 * first in its workspace, and its tokens are credited.
	 * @param ticket the request
	 */
	public void putBack(Ticket ticket) {
		if (ticket.counted) {
			this.rate.undrained();
			ticket.lane.queue().rate().undrained();
		}
		queue(ticket.demand).putBack(ticket, lane(ticket.demand));
		this.arrivals.put(ticket.sequence, ticket);
		this.size++;
	}

	/**
	 * Replaces the expected cost of a request that was taken out by its true cost.
	 * @param ticket the request
	 * @param tokens tokens that were served
	 */
	public void served(Ticket ticket, long tokens) {
		queue(ticket.demand).correct(ticket, tokens - ticket.demand.expectedTokens());
	}

	/**
	 * Removes a waiting request.
	 * @param ticket the request
	 * @return false where it does not wait any more
	 */
	public boolean remove(Ticket ticket) {
		if (!ticket.waiting) {
			return false;
		}
		queue(ticket.demand).remove(ticket);
		this.arrivals.remove(ticket.sequence);
		this.size--;
		return true;
	}

	/**
	 * Removes the requests for which a condition holds, such as those past their
	 * deadline.
	 * @param condition the condition
	 * @return the removed requests
	 */
	public List<Ticket> removeIf(Predicate<Ticket> condition) {
		List<Ticket> removed = new ArrayList<>();
		for (Iterator<Ticket> tickets = this.arrivals.values().iterator(); tickets.hasNext();) {
			Ticket ticket = tickets.next();
			if (condition.test(ticket)) {
				tickets.remove();
				queue(ticket.demand).remove(ticket);
				this.size--;
				removed.add(ticket);
			}
		}
		return removed;
	}

	/**
	 * Estimates when a refused request can come back.
	 * @return the wait from the measured drain rate, in milliseconds
	 */
	public long retryAfterMillis() {
		double perMilli = this.rate.perMilli();
		return retryAfter((perMilli > 0) ? (long) (this.size / perMilli) : 0);
	}

	/**
	 * Estimates when a request that waited in vain or had to make room can come back.
	 * @param demand the request
	 * @return the expected wait of a like request, and at least the time in which the
	 * whole queue drains, in milliseconds
	 */
	public long retryAfterMillis(Demand demand) {
		return Math.max(retryAfterMillis(), retryAfter(expectedWait(demand, lane(demand))));
	}

	private void advance(long nowMillis) {
		this.rate.advance(nowMillis, this.size > 0);
		this.interactive.advance(nowMillis);
		this.rollout.advance(nowMillis);
	}

	private long expectedWait(Demand demand, LevelQueue.Lane lane) {
		double perMilli = this.rate.perMilli();
		if (perMilli <= 0) {
			return 0;
		}
		if (!this.fair) {
			return (long) (this.size / perMilli);
		}
		double before = demand.interactive() ? 0 : this.interactive.size() / perMilli;
		return (long) (before + queue(demand).expectedWait(lane, demand, perMilli));
	}

	private @Nullable Ticket victim(Demand demand, LevelQueue.Lane lane) {
		if (demand.interactive() && this.rollout.size() > 0) {
			return this.rollout.victim(this.limits.maxQueued());
		}
		return queue(demand).victim(lane, this.limits.maxQueued());
	}

	private LevelQueue.Lane lane(Demand demand) {
		return queue(demand).lane(demand.workspace(), demand.weight(), this.levels.of(demand));
	}

	private ClassQueue queue(Demand demand) {
		return demand.interactive() ? this.interactive : this.rollout;
	}

	private static long retryAfter(long waitMillis) {
		return Math.min(MAX_RETRY_MILLIS, Math.max(DEFAULT_RETRY_MILLIS, waitMillis));
	}

	/**
	 * Limits of a queue.
	 *
	 * @param maxQueued the most requests that wait
	 * @param maxWaitInteractiveMillis the longest wait of an interactive request, in
	 * milliseconds
	 * @param maxWaitRolloutMillis the longest wait of a rollout sample, in milliseconds
	 */
	public record Limits(int maxQueued, long maxWaitInteractiveMillis, long maxWaitRolloutMillis) {

		public Limits {
			if (maxQueued < 1) {
				throw new IllegalArgumentException("maxQueued must be positive: " + maxQueued);
			}
		}

	}

	/**
	 * Priority levels of the workspaces; a higher level goes first.
	 *
	 * @param interactive levels of interactive requests, by workspace; the default level
	 * where left out
	 * @param rollout levels of rollout samples, by workspace; the default level where
	 * left out
	 */
	public record Levels(Map<String, Integer> interactive, Map<String, Integer> rollout) {

		/** The default level for all. */
		public static final Levels NONE = new Levels(Map.of(), Map.of());

		public Levels {
			interactive = Map.copyOf(interactive);
			rollout = Map.copyOf(rollout);
		}

		private int of(Demand demand) {
			Map<String, Integer> levels = demand.interactive() ? this.interactive : this.rollout;
			return levels.getOrDefault(demand.workspace(), Rules.PriorityRule.DEFAULT_LEVEL);
		}

	}

	/**
	 * A request that wants to be served.
	 *
	 * @param workspace the workspace, or any text that stands for callers without one
	 * @param weight weight of the workspace
	 * @param interactive whether the request is interactive
	 * @param expectedTokens expected cost, in tokens
	 * @param attachment whatever the user of the queue needs to find the request
	 */
	public record Demand(String workspace, double weight, boolean interactive, long expectedTokens, Object attachment) {

		public Demand {
			Objects.requireNonNull(workspace, "workspace");
			if (!(weight > 0)) {
				throw new IllegalArgumentException("weight must be positive: " + weight);
			}
		}

	}

	/**
	 * A refusal for load.
	 *
	 * @param retryAfterMillis when to come back, in milliseconds
	 */
	public record Overload(long retryAfterMillis) {
	}

	/**
	 * A request that was taken into the queue.
	 *
	 * @param ticket its place
	 * @param evicted the request that made room for it, which must be refused; null for
	 * none
	 */
	public record Admission(Ticket ticket, @Nullable Ticket evicted) {
	}

	/**
	 * A place in the queue.
	 */
	public static final class Ticket {

		private final Demand demand;

		/** The workspace at the level in which the request waits, or was taken out. */
		LevelQueue.Lane lane;

		/** The level below which levels got their share when this was taken out. */
		int reference;

		private final long sequence;

		private final long offeredMillis;

		private final long deadlineMillis;

		boolean waiting;

		private boolean counted;

		private Ticket(Demand demand, LevelQueue.Lane lane, long sequence, long offeredMillis, long deadlineMillis) {
			this.demand = demand;
			this.lane = lane;
			this.sequence = sequence;
			this.offeredMillis = offeredMillis;
			this.deadlineMillis = deadlineMillis;
		}

		Ticket at(LevelQueue.Lane newLane) {
			this.lane = newLane;
			return this;
		}

		/**
		 * Returns the request.
		 * @return the request
		 */
		public Demand demand() {
			return this.demand;
		}

		/**
		 * Returns when the request has waited too long.
		 * @return the time, in milliseconds
		 */
		public long deadlineMillis() {
			return this.deadlineMillis;
		}

	}

}
