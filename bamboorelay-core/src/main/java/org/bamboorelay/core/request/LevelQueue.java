package org.bamboorelay.core.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.bamboorelay.core.request.AdmissionQueue.Demand;
import org.bamboorelay.core.request.AdmissionQueue.Ticket;
import org.jspecify.annotations.Nullable;

/**
 * The workspaces of one class at one priority level, ordered by the tokens that each was
 * served, divided by its weight.
 * <p>
 * Not thread-safe.
 */
final class LevelQueue {

	private final int level;

	private final DrainRate rate = new DrainRate();

	private final Map<String, Lane> lanes = new HashMap<>();

	private final TreeSet<Lane> active = new TreeSet<>(LevelQueue::compare);

	/** No lane that becomes active starts below this counter. */
	private double floor;

	private int size;

	/**
	 * Tokens that the guaranteed share of the lower levels still owes this level;
	 * negative where it was served ahead.
	 */
	private double owed;

	LevelQueue(int level) {
		this.level = level;
	}

	int level() {
		return this.level;
	}

	int size() {
		return this.size;
	}

	DrainRate rate() {
		return this.rate;
	}

	double owed() {
		return this.owed;
	}

	void owed(double tokens) {
		this.owed = tokens;
	}

	Lane lane(String workspace, double weight) {
		Lane lane = this.lanes.computeIfAbsent(workspace, (name) -> new Lane(this, name));
		lane.weight = weight;
		return lane;
	}

	void add(Ticket ticket) {
		activate(ticket.lane);
		ticket.lane.tickets.addLast(ticket);
		entered(ticket);
	}

	void addFirst(Ticket ticket) {
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

	void remove(Ticket ticket) {
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

	void charge(Lane lane, long tokens) {
		boolean wasActive = this.active.remove(lane);
		if (tokens > 0 && !wasActive) {
			// A request that was just taken out was at the minimum of its level.
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

	@Nullable Ticket first(Predicate<Demand> servable) {
		for (Lane lane : this.active) {
			Ticket head = lane.tickets.getFirst();
			if (servable.test(head.demand())) {
				return head;
			}
		}
		return null;
	}

	@Nullable Ticket newestOfLongest() {
		Lane longest = null;
		for (Lane lane : this.active) {
			if (longest == null || lane.perWeight() > longest.perWeight()) {
				longest = lane;
			}
		}
		return (longest != null) ? longest.tickets.getLast() : null;
	}

	/**
	 * Finds the request that makes room for another one of the same level.
	 * @param lane the workspace of the new request
	 * @return the newest request of the workspace furthest above its share; null where
	 * that is not above the share of the new request's workspace
	 */
	@Nullable Ticket victim(Lane lane) {
		Ticket newest = newestOfLongest();
		if (newest == null || newest.lane == lane) {
			return null;
		}
		boolean below = (lane.tickets.size() + 1) / lane.weight < newest.lane.perWeight();
		return below ? newest : null;
	}

	/**
	 * Estimates the requests of this level that go before a new one of a workspace.
	 * @param lane the workspace
	 * @return the number, with parts
	 */
	double ahead(Lane lane) {
		return Math.min(this.size, lane.perWeight() * weight(lane));
	}

	/**
	 * Returns the sum of the weights of the workspaces that wait.
	 * @param including a workspace that counts even where it does not wait; null for none
	 * @return the sum
	 */
	double weight(@Nullable Lane including) {
		double sum = (including != null && including.tickets.isEmpty()) ? including.weight : 0;
		for (Lane lane : this.active) {
			sum += lane.weight;
		}
		return sum;
	}

	private static int compare(Lane one, Lane two) {
		int order = Double.compare(one.virtual, two.virtual);
		return (order != 0) ? order : one.workspace.compareTo(two.workspace);
	}

	/** The requests of one workspace at one level of a class. */
	static final class Lane {

		private final LevelQueue queue;

		private final String workspace;

		private final Deque<Ticket> tickets = new ArrayDeque<>();

		private double weight;

		private double virtual;

		private Lane(LevelQueue queue, String workspace) {
			this.queue = queue;
			this.workspace = workspace;
		}

		LevelQueue queue() {
			return this.queue;
		}

		private double perWeight() {
			return this.tickets.size() / this.weight;
		}

	}

}
