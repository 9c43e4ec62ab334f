package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.bamboorelay.core.request.AdmissionQueue.Demand;
import org.bamboorelay.core.request.AdmissionQueue.Ticket;
import org.jspecify.annotations.Nullable;

/**
 * The priority levels of one class. The highest level that waits goes first, but the
 * levels below it get a guaranteed share of the served tokens, divided among them by the
 * weights of their waiting workspaces.
 * <p>
 * Not thread-safe.
 */
final class ClassQueue {

	/**
	 * Part of the served tokens, and of the places in a full queue, that the levels below
	 * the highest waiting one get together while they wait. Strict order starves them
	 * under a flood. With a tenth they go on at a tenth of the class's rate at least, and
	 * the flooding level keeps nine tenths.
	 */
	static final double GUARANTEED_SHARE = 0.1;

	private final TreeMap<Integer, LevelQueue> levels = new TreeMap<>(Comparator.reverseOrder());

	private int size;

	int size() {
		return this.size;
	}

	LevelQueue.Lane lane(String workspace, double weight, int level) {
		return this.levels.computeIfAbsent(level, LevelQueue::new).lane(workspace, weight);
	}

	void advance(long nowMillis) {
		this.levels.values().forEach((level) -> level.rate().advance(nowMillis, level.size() > 0));
	}

	void add(Ticket ticket) {
		ticket.lane.queue().add(ticket);
		this.size++;
	}

	void remove(Ticket ticket) {
		ticket.lane.queue().remove(ticket);
		this.size--;
	}

	/**
	 * Takes out the next request and charges its expected tokens.
	 * @param servable tells whether a request can be served now
	 * @return the request, or null where none can be served
	 */
	@Nullable Ticket take(Predicate<Demand> servable) {
		LevelQueue top = top();
		List<LevelQueue> blocked = new ArrayList<>(0);
		for (LevelQueue due = due(top, blocked); due != null; due = due(top, blocked)) {
			Ticket ticket = due.first(servable);
			if (ticket != null) {
				return taken(ticket, top.level(), blocked);
			}
			// A level does not save up its share while none of its requests can be
			// served.
			blocked.add(due);
		}
		for (LevelQueue level : this.levels.values()) {
			Ticket ticket = blocked.contains(level) ? null : level.first(servable);
			if (ticket != null) {
				return taken(ticket, level.level(), blocked);
			}
		}
		return null;
	}

	/**
	 * Takes out a given request, without regard to levels, and charges its expected
	 * tokens.
	 * @param ticket the request
	 */
	void takeOut(Ticket ticket) {
		ticket.reference = Integer.MIN_VALUE;
		remove(ticket);
		ticket.lane.queue().charge(ticket.lane, ticket.demand().expectedTokens());
	}

	private Ticket taken(Ticket ticket, int reference, List<LevelQueue> blocked) {
		ticket.reference = reference;
		settle(ticket, ticket.demand().expectedTokens(), blocked);
		remove(ticket);
		ticket.lane.queue().charge(ticket.lane, ticket.demand().expectedTokens());
		return ticket;
	}

	/**
	 * Puts a request back that was taken out, first in its workspace.
	 * @param ticket the request
	 * @param lane the workspace at its present level
	 */
	void putBack(Ticket ticket, LevelQueue.Lane lane) {
		long tokens = ticket.demand().expectedTokens();
		LevelQueue.Lane charged = ticket.lane;
		charged.queue().charge(charged, -tokens);
		lane.queue().addFirst(ticket.at(lane));
		this.size++;
		if (charged == lane) {
			settle(ticket, -tokens, List.of());
		}
	}

	/**
	 * Corrects the tokens that a request was charged when it was taken out.
	 * @param ticket the request
	 * @param tokens tokens that were served on top; negative for fewer
	 */
	void correct(Ticket ticket, long tokens) {
		ticket.lane.queue().charge(ticket.lane, tokens);
		settle(ticket, tokens, List.of());
	}

	/**
	 * Forgets what is owed, as the levels hold other workspaces from now on.
	 */
	void forget() {
		this.levels.values().forEach((level) -> level.owed(0));
	}

	/**
	 * Moves a waiting request to another level, behind those of its workspace that were
	 * moved before.
	 * @param ticket the request
	 * @param lane the workspace at the new level
	 */
	void move(Ticket ticket, LevelQueue.Lane lane) {
		if (ticket.lane != lane) {
			ticket.lane.queue().remove(ticket);
			lane.queue().add(ticket.at(lane));
		}
	}

	/**
	 * Estimates the wait of a new request in this class.
	 * @param lane the workspace at its level
	 * @param demand the request
	 * @param perMilli requests that the whole queue drains in a millisecond, above 0
	 * @return the wait, in milliseconds
	 */
	double expectedWait(LevelQueue.Lane lane, Demand demand, double perMilli) {
		LevelQueue own = lane.queue();
		double ahead = own.ahead(lane);
		int higher = 0;
		int lower = 0;
		for (LevelQueue level : this.levels.values()) {
			higher += (level.level() > own.level()) ? level.size() : 0;
			lower += (level.level() < own.level()) ? level.size() : 0;
		}
		if (higher == 0) {
			return ahead / ((lower > 0) ? 1 - GUARANTEED_SHARE : 1) / perMilli;
		}
		// Tokens that were served ahead of the share are paid back before the next turn.
		double debt = Math.max(0, -own.owed()) / Math.max(1, demand.expectedTokens());
		double bounded = Math.min(higher + ahead, (ahead + debt) / part(own, lane) + 1) / perMilli;
		// The first bound misses arrivals at higher levels; the level's own rate has
		// them.
		double measured = own.rate().perMilli();
		return (measured > 0) ? Math.max(bounded, ahead / measured) : bounded;
	}

	/**
	 * Finds the request that makes room for another one of this class.
	 * @param lane the workspace of the new request
	 * @param places places in the queue
	 * @return the request; null where the new one has no better claim than any
	 */
	@Nullable Ticket victim(LevelQueue.Lane lane, int places) {
		LevelQueue own = lane.queue();
		LevelQueue top = top();
		if (top != null && own.level() < top.level() && own.size() < reserved(own, lane, places)) {
			LevelQueue largest = top;
			for (LevelQueue level : this.levels.values()) {
				largest = (level != own && level.size() > largest.size()) ? level : largest;
			}
			return largest.newestOfLongest();
		}
		Ticket lower = lowest(own.level(), places);
		return (lower != null) ? lower : own.victim(lane);
	}

	/**
	 * Finds the request that makes room for one of a class that goes first.
	 * @param places places in the queue
	 * @return the request; null where none waits
	 */
	@Nullable Ticket victim(int places) {
		return lowest(Integer.MAX_VALUE, places);
	}

	private @Nullable Ticket lowest(int below, int places) {
		LevelQueue top = top();
		for (LevelQueue level : this.levels.descendingMap().values()) {
			boolean exceeds = level.size() > 0 && (level == top || level.size() > reserved(level, null, places));
			if (exceeds && level.level() < below) {
				return level.newestOfLongest();
			}
		}
		return null;
	}

	private double reserved(LevelQueue level, LevelQueue.@Nullable Lane including, int places) {
		return Math.max(1, Math.floor(part(level, including) * places));
	}

	/* The part of the class's tokens that a level below the highest one is sure of. */
	private double part(LevelQueue level, LevelQueue.@Nullable Lane including) {
		LevelQueue top = top();
		double weight = level.weight(including);
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
	 * A turn comes as soon as anything is owed and is paid back afterwards. With turns
	 * saved up first, a request whose longest wait is below ten service times would never
	 * be served.
	 */
	private @Nullable LevelQueue due(@Nullable LevelQueue top, List<LevelQueue> blocked) {
		LevelQueue due = null;
		for (LevelQueue level : this.levels.values()) {
			if (level.size() > 0 && level.owed() > ((due != null) ? due.owed() : 0) && !blocked.contains(level)) {
				due = level;
			}
		}
		return (due != top) ? due : null;
	}

	/**
	 * Counts tokens towards the guaranteed shares of the levels below the one whose turn
	 * it was.
	 * @param ticket the request that was served
	 * @param tokens the tokens; negative to undo
	 * @param blocked levels that could not use their turn
	 */
	private void settle(Ticket ticket, long tokens, List<LevelQueue> blocked) {
		if (this.levels.size() < 2) {
			return;
		}
		double weight = 0;
		for (LevelQueue level : this.levels.values()) {
			weight += (level.level() < ticket.reference && !blocked.contains(level)) ? level.weight(null) : 0;
		}
		for (LevelQueue level : this.levels.values()) {
			if (blocked.contains(level)) {
				continue;
			}
			if (level.size() > 0 && level.level() < ticket.reference) {
				level.owed(level.owed() + GUARANTEED_SHARE * tokens * level.weight(null) / weight);
			}
			else if (tokens > 0) {
				// Nothing is saved up without waiting, but what was served ahead is paid
				// back.
				level.owed(Math.min(0, level.owed() + GUARANTEED_SHARE * tokens));
			}
		}
		LevelQueue own = ticket.lane.queue();
		if (own.level() < ticket.reference) {
			own.owed(own.owed() - tokens);
		}
	}

}
