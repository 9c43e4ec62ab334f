package org.bamboorelay.core.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

/**
 * Orders the requests that wait for one service: interactive before rollout, and inside a
 * class by the tokens that each workspace was served, divided by its weight. Bounded in
 * count and in expected wait.
 * <p>
 * A full queue makes room for a workspace below its share by dropping the newest request
 * of the workspace that is furthest above its own.
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
		this.rate.advance(nowMillis, this.size > 0);
		ClassQueue queue = queue(demand.interactive());
		Lane lane = queue.lane(demand.workspace(), demand.weight());
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
		queue.add(ticket);
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
		this.rate.advance(nowMillis, this.size > 0);
		Ticket ticket;
		if (this.fair) {
			ticket = this.interactive.first(servable);
			ticket = (ticket != null) ? ticket : this.rollout.first(servable);
		}
		else {
			ticket = this.arrivals.values()
				.stream()
				.filter((entry) -> servable.test(entry.demand))
				.findFirst()
				.orElse(null);
		}
		if (ticket == null) {
			return null;
		}
		remove(ticket);
		queue(ticket.demand.interactive()).charge(ticket.lane, ticket.demand.expectedTokens());
		// A request that passes an empty queue at once tells nothing about the drain
		// rate.
		ticket.counted = this.size > 0 || nowMillis > ticket.offeredMillis;
		if (ticket.counted) {
			this.rate.drained();
		}
		return ticket;
	}

	/**
	 * Puts a request back that was taken out and could not be served after all. It comes
	 * first in its workspace, and its tokens are credited.
	 * @param ticket the request
	 */
	public void putBack(Ticket ticket) {
		ClassQueue queue = queue(ticket.demand.interactive());
		queue.charge(ticket.lane, -ticket.demand.expectedTokens());
		queue.addFirst(ticket);
		this.arrivals.put(ticket.sequence, ticket);
		this.size++;
		if (ticket.counted) {
			this.rate.undrained();
		}
	}

	/**
	 * Replaces the expected cost of a request that was taken out by its true cost.
	 * @param ticket the request
	 * @param tokens tokens that were served
	 */
	public void served(Ticket ticket, long tokens) {
		queue(ticket.demand.interactive()).charge(ticket.lane, tokens - ticket.demand.expectedTokens());
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
		queue(ticket.demand.interactive()).remove(ticket);
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
				queue(ticket.demand.interactive()).remove(ticket);
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

	private long expectedWait(Demand demand, Lane lane) {
		double perMilli = this.rate.perMilli();
		if (perMilli <= 0) {
			return 0;
		}
		double ahead;
		if (this.fair) {
			ClassQueue queue = queue(demand.interactive());
			double share = queue.activeWeight(lane) / lane.weight;
			ahead = Math.min(queue.size, lane.tickets.size() * share);
			ahead += demand.interactive() ? 0 : this.interactive.size;
		}
		else {
			ahead = this.size;
		}
		return (long) (ahead / perMilli);
	}

	private @Nullable Ticket victim(Demand demand, Lane lane) {
		if (demand.interactive() && this.rollout.size > 0) {
			return this.rollout.newestOfLongest();
		}
		ClassQueue queue = queue(demand.interactive());
		Ticket newest = queue.newestOfLongest();
		if (newest == null || newest.lane == lane) {
			return null;
		}
		boolean below = (lane.tickets.size() + 1) / lane.weight < newest.lane.tickets.size() / newest.lane.weight;
		return below ? newest : null;
	}

	private ClassQueue queue(boolean isInteractive) {
		return isInteractive ? this.interactive : this.rollout;
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

		private final Lane lane;

		private final long sequence;

		private final long offeredMillis;

		private final long deadlineMillis;

		private boolean waiting;

		private boolean counted;

		private Ticket(Demand demand, Lane lane, long sequence, long offeredMillis, long deadlineMillis) {
			this.demand = demand;
			this.lane = lane;
			this.sequence = sequence;
			this.offeredMillis = offeredMillis;
			this.deadlineMillis = deadlineMillis;
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

	/** The requests of one workspace in one class. */
	private static final class Lane {

		private final String workspace;

		private final Deque<Ticket> tickets = new ArrayDeque<>();

		private double weight;

		private double virtual;

		private Lane(String workspace) {
			this.workspace = workspace;
		}

	}

	/** The workspaces of one class. */
	private static final class ClassQueue {

		private final Map<String, Lane> lanes = new HashMap<>();

		private final TreeSet<Lane> active = new TreeSet<>(ClassQueue::compare);

		/** No lane that becomes active starts below this counter. */
		private double floor;

		private int size;

		private Lane lane(String workspace, double weight) {
			Lane lane = this.lanes.computeIfAbsent(workspace, Lane::new);
			lane.weight = weight;
			return lane;
		}

		private void add(Ticket ticket) {
			activate(ticket.lane);
			ticket.lane.tickets.addLast(ticket);
			entered(ticket);
		}

		private void addFirst(Ticket ticket) {
			activate(ticket.lane);
			ticket.lane.tickets.addFirst(ticket);
			entered(ticket);
		}

		private void entered(Ticket ticket) {
			this.active.add(ticket.lane);
			ticket.waiting = true;
			this.size++;
		}

		private void activate(Lane lane) {
			if (lane.tickets.isEmpty()) {
				lane.virtual = Math.max(lane.virtual, this.floor);
			}
		}

		private void remove(Ticket ticket) {
			Lane lane = ticket.lane;
			if (lane.tickets.peekFirst() == ticket) {
				lane.tickets.removeFirst();
			}
			else {
				lane.tickets.removeLastOccurrence(ticket);
			}
			ticket.waiting = false;
			this.size--;
			if (lane.tickets.isEmpty()) {
				this.active.remove(lane);
			}
		}

		private void charge(Lane lane, long tokens) {
			boolean wasActive = this.active.remove(lane);
			if (tokens > 0 && !wasActive) {
				// A request that was just taken out was at the minimum of its class.
				this.floor = Math.max(this.floor, Math.min(lane.virtual, minimum()));
			}
			lane.virtual += tokens / lane.weight;
			if (wasActive) {
				this.active.add(lane);
			}
			if (!this.active.isEmpty()) {
				this.floor = Math.max(this.floor, minimum());
			}
		}

		private double minimum() {
			return this.active.isEmpty() ? Double.MAX_VALUE : this.active.first().virtual;
		}

		private @Nullable Ticket first(Predicate<Demand> servable) {
			for (Lane lane : this.active) {
				Ticket head = lane.tickets.getFirst();
				if (servable.test(head.demand)) {
					return head;
				}
			}
			return null;
		}

		private @Nullable Ticket newestOfLongest() {
			Lane longest = null;
			for (Lane lane : this.active) {
				if (longest == null || lane.tickets.size() / lane.weight > longest.tickets.size() / longest.weight) {
					longest = lane;
				}
			}
			return (longest != null) ? longest.tickets.getLast() : null;
		}

		private double activeWeight(Lane including) {
			double sum = including.tickets.isEmpty() ? including.weight : 0;
			for (Lane lane : this.active) {
				sum += lane.weight;
			}
			return sum;
		}

		private static int compare(Lane one, Lane two) {
			int order = Double.compare(one.virtual, two.virtual);
			return (order != 0) ? order : one.workspace.compareTo(two.workspace);
		}

	}

	/**
	 * Requests taken out per time in which requests waited. Idle time does not count, as
	 * a queue without work says nothing about the rate at which it could drain.
	 */
	private static final class DrainRate {

		private static final double TIME_CONSTANT_MILLIS = 5_000;

		/** Less busy time than this says too little, in milliseconds. */
		private static final double MIN_BUSY_MILLIS = 200;

		private double drained;

		private double busyMillis;

		private long lastMillis = Long.MIN_VALUE;

		private void advance(long nowMillis, boolean busy) {
			if (this.lastMillis != Long.MIN_VALUE && nowMillis > this.lastMillis && busy) {
				long elapsed = nowMillis - this.lastMillis;
				double keep = Math.exp(-elapsed / TIME_CONSTANT_MILLIS);
				this.drained *= keep;
				this.busyMillis = this.busyMillis * keep + TIME_CONSTANT_MILLIS * (1 - keep);
			}
			this.lastMillis = nowMillis;
		}

		private void drained() {
			this.drained++;
		}

		private void undrained() {
			this.drained = Math.max(0, this.drained - 1);
		}

		private double perMilli() {
			return (this.busyMillis >= MIN_BUSY_MILLIS) ? this.drained / this.busyMillis : 0;
		}

	}

}
