package org.bamboorelay.core.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.bamboorelay.core.request.AdmissionQueue.Request;
import org.bamboorelay.core.request.AdmissionQueue.Ticket;
import org.jspecify.annotations.Nullable;

/**
 * The workspaces of one class at one priority level, ordered by virtual time: the tokens
 * served to each workspace divided by its weight.
 * <p>
 * Not thread-safe.
 */
final class LevelQueue {

	private final int level;

	private final DrainRate rate = new DrainRate();

	private final Map<String, WorkspaceQueue> workspaceQueues = new HashMap<>();

	private final TreeSet<WorkspaceQueue> active = new TreeSet<>(LevelQueue::compare);

	/** Minimum virtual time of a workspace that becomes active. */
	private double virtualTimeFloor;

	private int size;

	/**
	 * Tokens that are still due to this level from the guaranteed share of the lower
	 * levels; negative if it was served in advance.
	 */
	private double deficit;

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

	double deficit() {
		return this.deficit;
	}

	void deficit(double tokens) {
		this.deficit = tokens;
	}

	WorkspaceQueue workspaceQueue(String workspace, double weight) {
		WorkspaceQueue workspaceQueue = this.workspaceQueues.computeIfAbsent(workspace,
				(name) -> new WorkspaceQueue(this, name));
		workspaceQueue.weight = weight;
		return workspaceQueue;
	}

	void add(Ticket ticket) {
		activate(ticket.workspaceQueue);
		ticket.workspaceQueue.tickets.addLast(ticket);
		markWaiting(ticket);
	}

	void addFirst(Ticket ticket) {
		activate(ticket.workspaceQueue);
		ticket.workspaceQueue.tickets.addFirst(ticket);
		markWaiting(ticket);
	}

	private void markWaiting(Ticket ticket) {
		this.active.add(ticket.workspaceQueue);
		ticket.waiting = true;
		this.size++;
	}

	private void activate(WorkspaceQueue workspaceQueue) {
		if (workspaceQueue.tickets.isEmpty()) {
			workspaceQueue.virtualTime = Math.max(workspaceQueue.virtualTime, this.virtualTimeFloor);
		}
	}

	void remove(Ticket ticket) {
		WorkspaceQueue workspaceQueue = ticket.workspaceQueue;
		if (workspaceQueue.tickets.peekFirst() == ticket) {
			workspaceQueue.tickets.removeFirst();
		}
		else {
			workspaceQueue.tickets.removeLastOccurrence(ticket);
		}
		ticket.waiting = false;
		this.size--;
		if (workspaceQueue.tickets.isEmpty()) {
			this.active.remove(workspaceQueue);
		}
	}

	void charge(WorkspaceQueue workspaceQueue, long tokens) {
		boolean wasActive = this.active.remove(workspaceQueue);
		if (tokens > 0 && !wasActive) {
			// The request was removed just now, when its workspace had the minimum
			// virtual time of the level.
			this.virtualTimeFloor = Math.max(this.virtualTimeFloor,
					Math.min(workspaceQueue.virtualTime, minVirtualTime()));
		}
		workspaceQueue.virtualTime += tokens / workspaceQueue.weight;
		if (wasActive) {
			this.active.add(workspaceQueue);
		}
		if (!this.active.isEmpty()) {
			this.virtualTimeFloor = Math.max(this.virtualTimeFloor, minVirtualTime());
		}
	}

	private double minVirtualTime() {
		return this.active.isEmpty() ? Double.MAX_VALUE : this.active.first().virtualTime;
	}

	@Nullable Ticket firstServable(Predicate<Request> servable) {
		for (WorkspaceQueue workspaceQueue : this.active) {
			Ticket head = workspaceQueue.tickets.getFirst();
			if (servable.test(head.request())) {
				return head;
			}
		}
		return null;
	}

	@Nullable Ticket newestOfLongest() {
		WorkspaceQueue longest = null;
		for (WorkspaceQueue workspaceQueue : this.active) {
			if (longest == null || workspaceQueue.lengthPerWeight() > longest.lengthPerWeight()) {
				longest = workspaceQueue;
			}
		}
		return (longest != null) ? longest.tickets.getLast() : null;
	}

	/**
	 * Finds the request to evict in favour of a new one of the same level.
	 * @param workspaceQueue the queue of the workspace of the new request
	 * @return the newest request of the workspace with the most waiting requests per
	 * weight; null if the workspace of the new request would not stay below that
	 */
	@Nullable Ticket evictionCandidate(WorkspaceQueue workspaceQueue) {
		Ticket newest = newestOfLongest();
		if (newest == null || newest.workspaceQueue == workspaceQueue) {
			return null;
		}
		boolean below = (workspaceQueue.tickets.size() + 1) / workspaceQueue.weight < newest.workspaceQueue
			.lengthPerWeight();
		return below ? newest : null;
	}

	/**
	 * Estimates the number of requests of this level that are served before a new one of
	 * a workspace.
	 * @param workspaceQueue the queue of the workspace
	 * @return the number of requests, possibly fractional
	 */
	double requestsAhead(WorkspaceQueue workspaceQueue) {
		return Math.min(this.size, workspaceQueue.lengthPerWeight() * weight(workspaceQueue));
	}

	/**
	 * Returns the total weight of the workspaces with waiting requests.
	 * @param includedQueue a workspace that is counted even if it has no waiting request;
	 * null for none
	 * @return the total weight
	 */
	double weight(@Nullable WorkspaceQueue includedQueue) {
		double sum = (includedQueue != null && includedQueue.tickets.isEmpty()) ? includedQueue.weight : 0;
		for (WorkspaceQueue workspaceQueue : this.active) {
			sum += workspaceQueue.weight;
		}
		return sum;
	}

	private static int compare(WorkspaceQueue one, WorkspaceQueue two) {
		int order = Double.compare(one.virtualTime, two.virtualTime);
		return (order != 0) ? order : one.workspace.compareTo(two.workspace);
	}

	/** The waiting requests of one workspace at one level of a class. */
	static final class WorkspaceQueue {

		private final LevelQueue levelQueue;

		private final String workspace;

		private final Deque<Ticket> tickets = new ArrayDeque<>();

		private double weight;

		private double virtualTime;

		private WorkspaceQueue(LevelQueue levelQueue, String workspace) {
			this.levelQueue = levelQueue;
			this.workspace = workspace;
		}

		LevelQueue levelQueue() {
			return this.levelQueue;
		}

		private double lengthPerWeight() {
			return this.tickets.size() / this.weight;
		}

	}

}
