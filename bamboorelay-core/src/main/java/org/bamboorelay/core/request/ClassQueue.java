package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.bamboorelay.core.request.AdmissionQueue.Request;
import org.bamboorelay.core.request.AdmissionQueue.Ticket;
import org.jspecify.annotations.Nullable;

/**
 * The priority levels of one class of requests. The highest level with waiting requests
 * is served first, but the levels below it have a guaranteed share of the served tokens,
 * divided among them by the weights of their waiting workspaces.
 * <p>
 * Not thread-safe.
 */
final class ClassQueue {

	/**
	 * Fraction of the served tokens, and of the places in a full queue, that the levels
	 * below the highest waiting one receive together while they have waiting requests.
	 * Strict priority would starve them while a higher level floods the queue. With a
	 * tenth they continue at no less than a tenth of the rate of the class, and the
	 * flooding level keeps nine tenths.
	 */
	static final double GUARANTEED_SHARE = 0.1;

	private final TreeMap<Integer, LevelQueue> levels = new TreeMap<>(Comparator.reverseOrder());

	private int size;

	int size() {
		return this.size;
	}

	LevelQueue.WorkspaceQueue workspaceQueue(String workspace, double weight, int level) {
		return this.levels.computeIfAbsent(level, LevelQueue::new).workspaceQueue(workspace, weight);
	}

	void advance(long nowMillis) {
		this.levels.values().forEach((level) -> level.rate().advance(nowMillis, level.size() > 0));
	}

	void add(Ticket ticket) {
		ticket.workspaceQueue.levelQueue().add(ticket);
		this.size++;
	}

	void remove(Ticket ticket) {
		ticket.workspaceQueue.levelQueue().remove(ticket);
		this.size--;
	}

	/**
	 * Removes the next request and charges its expected tokens.
	 * @param servable tests whether a request can be served now
	 * @return the request, or null if none can be served
	 */
	@Nullable Ticket take(Predicate<Request> servable) {
		LevelQueue top = top();
		List<LevelQueue> blocked = new ArrayList<>(0);
		for (LevelQueue mostOwed = mostOwed(top, blocked); mostOwed != null; mostOwed = mostOwed(top, blocked)) {
			Ticket ticket = mostOwed.firstServable(servable);
			if (ticket != null) {
				return recordTaken(ticket, top.level(), blocked);
			}
			// A level accrues no share while none of its requests can be served.
			blocked.add(mostOwed);
		}
		for (LevelQueue level : this.levels.values()) {
			Ticket ticket = blocked.contains(level) ? null : level.firstServable(servable);
			if (ticket != null) {
				return recordTaken(ticket, level.level(), blocked);
			}
		}
		return null;
	}

	/**
	 * Removes a given request regardless of its level and charges its expected tokens.
	 * @param ticket the request
	 */
	void removeAndCharge(Ticket ticket) {
		ticket.accrualLevel = Integer.MIN_VALUE;
		remove(ticket);
		ticket.workspaceQueue.levelQueue().charge(ticket.workspaceQueue, ticket.request().expectedTokens());
	}

	private Ticket recordTaken(Ticket ticket, int accrualLevel, List<LevelQueue> blocked) {
		ticket.accrualLevel = accrualLevel;
		updateDeficits(ticket, ticket.request().expectedTokens(), blocked);
		remove(ticket);
		ticket.workspaceQueue.levelQueue().charge(ticket.workspaceQueue, ticket.request().expectedTokens());
		return ticket;
	}

	/**
	 * Requeues a request at the head of its workspace and refunds its tokens.
	 * @param ticket the request
	 * @param workspaceQueue the queue of the workspace at its current level
	 */
	void requeue(Ticket ticket, LevelQueue.WorkspaceQueue workspaceQueue) {
		long tokens = ticket.request().expectedTokens();
		LevelQueue.WorkspaceQueue charged = ticket.workspaceQueue;
		charged.levelQueue().charge(charged, -tokens);
		workspaceQueue.levelQueue().addFirst(ticket.moveTo(workspaceQueue));
		this.size++;
		if (charged == workspaceQueue) {
			updateDeficits(ticket, -tokens, List.of());
		}
	}

	/**
	 * Corrects the number of tokens that a request was charged on removal.
	 * @param ticket the request
	 * @param tokens the number of tokens served in excess of the expected ones; negative
	 * if fewer were served
	 */
	void correctCost(Ticket ticket, long tokens) {
		ticket.workspaceQueue.levelQueue().charge(ticket.workspaceQueue, tokens);
		updateDeficits(ticket, tokens, List.of());
	}

	/**
	 * Resets the deficits, because the workspaces of the levels have changed.
	 */
	void resetDeficits() {
		this.levels.values().forEach((level) -> level.deficit(0));
	}

	/**
	 * Moves a waiting request to another level, behind requests of its workspace that
	 * were moved earlier.
	 * @param ticket the request
	 * @param workspaceQueue the queue of the workspace at the new level
	 */
	void move(Ticket ticket, LevelQueue.WorkspaceQueue workspaceQueue) {
		if (ticket.workspaceQueue != workspaceQueue) {
			ticket.workspaceQueue.levelQueue().remove(ticket);
			workspaceQueue.levelQueue().add(ticket.moveTo(workspaceQueue));
		}
	}

	/**
	 * Estimates the wait of a new request in this class.
	 * @param workspaceQueue the queue of the workspace at its level
	 * @param request the request
	 * @param perMillisecond the drain rate of the whole queue, in requests per
	 * millisecond, positive
	 * @return the wait, in milliseconds
	 */
	double expectedWait(LevelQueue.WorkspaceQueue workspaceQueue, Request request, double perMillisecond) {
		LevelQueue ownLevel = workspaceQueue.levelQueue();
		double requestsAhead = ownLevel.requestsAhead(workspaceQueue);
		int waitingAbove = 0;
		int lower = 0;
		for (LevelQueue level : this.levels.values()) {
			waitingAbove += (level.level() > ownLevel.level()) ? level.size() : 0;
			lower += (level.level() < ownLevel.level()) ? level.size() : 0;
		}
		if (waitingAbove == 0) {
			return requestsAhead / ((lower > 0) ? 1 - GUARANTEED_SHARE : 1) / perMillisecond;
		}
		// Tokens served in advance of the share are repaid before the next turn.
		double debtInRequests = Math.max(0, -ownLevel.deficit()) / Math.max(1, request.expectedTokens());
		double bounded = Math.min(waitingAbove + requestsAhead,
				(requestsAhead + debtInRequests) / guaranteedFraction(ownLevel, workspaceQueue) + 1) / perMillisecond;
		// The first bound ignores future arrivals at higher levels. The measured drain
		// rate of the level reflects them.
		double measured = ownLevel.rate().perMillisecond();
		return (measured > 0) ? Math.max(bounded, requestsAhead / measured) : bounded;
	}

	/**
	 * Finds the request to evict in favour of a new one of this class.
	 * @param workspaceQueue the queue of the workspace of the new request
	 * @param places the maximum length of the admission queue
	 * @return the request; null if the new request takes precedence over none
	 */
	@Nullable Ticket evictionCandidate(LevelQueue.WorkspaceQueue workspaceQueue, int places) {
		LevelQueue ownLevel = workspaceQueue.levelQueue();
		LevelQueue top = top();
		if (top != null && ownLevel.level() < top.level()
				&& ownLevel.size() < reservedPlaces(ownLevel, workspaceQueue, places)) {
			LevelQueue largest = top;
			for (LevelQueue level : this.levels.values()) {
				largest = (level != ownLevel && level.size() > largest.size()) ? level : largest;
			}
			return largest.newestOfLongest();
		}
		Ticket lower = lowestEvictable(ownLevel.level(), places);
		return (lower != null) ? lower : ownLevel.evictionCandidate(workspaceQueue);
	}

	/**
	 * Finds the request to evict in favour of a new one of a class that is served first.
	 * @param places the maximum length of the admission queue
	 * @return the request; null if none waits
	 */
	@Nullable Ticket evictionCandidate(int places) {
		return lowestEvictable(Integer.MAX_VALUE, places);
	}

	private @Nullable Ticket lowestEvictable(int below, int places) {
		LevelQueue top = top();
		for (LevelQueue level : this.levels.descendingMap().values()) {
			boolean exceeds = level.size() > 0 && (level == top || level.size() > reservedPlaces(level, null, places));
			if (exceeds && level.level() < below) {
				return level.newestOfLongest();
			}
		}
		return null;
	}

	private double reservedPlaces(LevelQueue level, LevelQueue.@Nullable WorkspaceQueue includedQueue, int places) {
		return Math.max(1, Math.floor(guaranteedFraction(level, includedQueue) * places));
	}

	/*
	 * Returns the fraction of the class's tokens that is guaranteed to a level below the
	 * highest waiting one.
	 */
	private double guaranteedFraction(LevelQueue level, LevelQueue.@Nullable WorkspaceQueue includedQueue) {
		LevelQueue top = top();
		double weight = level.weight(includedQueue);
		double sum = weight;
		for (LevelQueue other : this.levels.values()) {
			sum += (top != null && other != level && other.level() < top.level()) ? other.weight(null) : 0;
		}
		return GUARANTEED_SHARE * weight / sum;
	}

	private @Nullable LevelQueue top() {
		for (LevelQueue level : this.levels.values()) {
			if (level.size() > 0) {
				return level;
			}
		}
		return null;
	}

	/*
	 * A level gets a turn as soon as it is owed any tokens, and repays the excess
	 * afterwards. If it had to accrue the cost of a request first, a request whose
	 * maximum wait is below ten service times would never be served.
	 */
	private @Nullable LevelQueue mostOwed(@Nullable LevelQueue top, List<LevelQueue> blocked) {
		LevelQueue mostOwed = null;
		for (LevelQueue level : this.levels.values()) {
			if (level.size() > 0 && level.deficit() > ((mostOwed != null) ? mostOwed.deficit() : 0)
					&& !blocked.contains(level)) {
				mostOwed = level;
			}
		}
		return (mostOwed != top) ? mostOwed : null;
	}

	/**
	 * Credits the guaranteed shares of the levels below the one whose turn it was, and
	 * debits the level that was served.
	 * @param ticket the request that was served
	 * @param tokens the number of served tokens; negative to undo
	 * @param blocked levels that could not use their turn
	 */
	private void updateDeficits(Ticket ticket, long tokens, List<LevelQueue> blocked) {
		if (this.levels.size() < 2) {
			return;
		}
		double weight = 0;
		for (LevelQueue level : this.levels.values()) {
			weight += (level.level() < ticket.accrualLevel && !blocked.contains(level)) ? level.weight(null) : 0;
		}
		for (LevelQueue level : this.levels.values()) {
			if (blocked.contains(level)) {
				continue;
			}
			if (level.size() > 0 && level.level() < ticket.accrualLevel) {
				level.deficit(level.deficit() + GUARANTEED_SHARE * tokens * level.weight(null) / weight);
			}
			else if (tokens > 0) {
				// A level without waiting requests accrues no share, but it repays tokens
				// that it was served in advance.
				level.deficit(Math.min(0, level.deficit() + GUARANTEED_SHARE * tokens));
			}
		}
		LevelQueue ownLevel = ticket.workspaceQueue.levelQueue();
		if (ownLevel.level() < ticket.accrualLevel) {
			ownLevel.deficit(ownLevel.deficit() - tokens);
		}
	}

}
