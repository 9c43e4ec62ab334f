package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

/**
 * The requests that wait at one host for a slot of one service. Requests are ordered by
 * priority, and within a priority callers precede other requests; the ranks below the
 * highest waiting one keep a small share of the slots. Requests of equal rank divide the
 * slots equally among their workspaces (start-time fair queueing); those of one workspace
 * are ordered by deadline. A request is admitted only if it can be expected to begin in
 * time, judged by the rate at which slots become free.
 * <p>
 * Not thread-safe.
 *
 * @param <T> the type of the object that the owner of the queue attaches to a request
 */
public final class SlotQueue<T> {

	/**
	 * Retry delay of a refused request if the rate at which slots become free is unknown,
	 * in milliseconds.
	 */
	public static final long UNKNOWN_WAIT_MILLIS = 200;

	/** Minimum retry delay of a refused request, in milliseconds. */
	private static final long MIN_RETRY_AFTER_MILLIS = 20;

	/**
	 * Share of the slots that the ranks below the highest waiting one get together while
	 * they have waiting requests, as in {@link AdmissionQueue}. Callers that keep the
	 * queue filled would otherwise starve the score calls of accepted items.
	 */
	private static final double GUARANTEED_SHARE = ClassQueue.GUARANTEED_SHARE;

	/**
	 * Share by which the retry delay may exceed the expected wait, so that requests that
	 * were refused at the same time are not retried at the same time.
	 */
	private static final double MAX_JITTER = 0.25;

	/**
	 * Maximum of the expected wait of an admitted request, as a share of its longest
	 * wait. With the whole of it, more requests wait in vain when the pace falls: after a
	 * simulated loss of half of the endpoints, refusals came after 545 instead of 69 ms
	 * on average.
	 */
	private static final double MAX_EXPECTED_SHARE = 0.5;

	/** Maximum of the longest wait, as a share of the remaining time. */
	private static final double MAX_WAIT_SHARE = 0.75;

	/**
	 * Time constant of the rate at which waiting requests get slots, in milliseconds.
	 * Callers have deadlines of 1.5 to 2 s, so the average over 5 s that
	 * {@link AdmissionQueue} uses would be too slow after a loss of endpoints.
	 */
	private static final double RATE_TIME_CONSTANT_MILLIS = 1_000;

	/** Weight of the newest measurement in the average time for which a slot is held. */
	private static final double HOLD_TIME_EWMA_WEIGHT = 1.0 / 8;

	/**
	 * Time without a request that was passed over after which a workspace no longer
	 * counts as held to its share, in milliseconds.
	 */
	private static final long SHARE_HOLD_MILLIS = 1_000;

	/** Number of mean deviations above the average that the hold time may take. */
	private static final double HOLD_TIME_DEVIATIONS = 2;

	private final RandomGenerator random;

	private final TreeMap<Rank, RankQueue<T>> ranks = new TreeMap<>();

	private final DrainRate rate = new DrainRate(RATE_TIME_CONSTANT_MILLIS);

	private final Map<String, Long> passedOverAtMillis = new HashMap<>();

	private double holdMillis;

	private double holdDeviationMillis;

	private double lowerRankCredit;

	private long nextSequence;

	private int size;

	private SlotQueue(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Creates an empty queue.
	 * @param <T> the type of the object that is attached to a request
	 * @param random the source of the jitter of retry delays
	 * @return the queue
	 */
	public static <T> SlotQueue<T> create(RandomGenerator random) {
		return new SlotQueue<>(random);
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Adds a request, unless it is not expected to begin in time.
	 * @param request the request
	 * @param attachment the object with which the owner identifies the request
	 * @param supply the slots at the time of the call
	 * @param nowMillis the current time, in milliseconds
	 * @return the waiting request, or the refusal
	 */
	public Either<Refused, Ticket<T>> offer(Request request, T attachment, Supply supply, long nowMillis) {
		advance(nowMillis);
		long latestBeginMillis = latestBegin(request, nowMillis);
		Ticket<T> ticket = new Ticket<>(request, attachment, latestBeginMillis, nowMillis, this.nextSequence++);
		long expectedWait = expectedWait(ticket, supply);
		if (!request.accepted() && !supply.slotFree()
				&& expectedWait > MAX_EXPECTED_SHARE * (latestBeginMillis - nowMillis)) {
			return Either.left(new Refused(Reason.EXPECTED_WAIT, retryAfter(expectedWait)));
		}
		this.ranks.computeIfAbsent(Rank.of(request), (unused) -> new RankQueue<>()).add(ticket);
		ticket.waiting = true;
		this.size++;
		return Either.right(ticket);
	}

	/**
	 * Gives a slot to the first request that can use one, and charges it to the
	 * workspace.
	 * @param acquire tries to acquire a slot for a request; must not change the queue
	 * @param nowMillis the current time, in milliseconds
	 * @return the request, which has left the queue, or null if none got a slot
	 */
	public @Nullable Ticket<T> poll(Predicate<Ticket<T>> acquire, long nowMillis) {
		advance(nowMillis);
		List<RankQueue<T>> waitingRanks = new ArrayList<>(this.ranks.values());
		waitingRanks.removeIf((rankQueue) -> rankQueue.size == 0);
		RankQueue<T> highest = waitingRanks.isEmpty() ? null : waitingRanks.get(0);
		boolean contended = waitingRanks.size() > 1;
		if (contended && this.lowerRankCredit >= 1) {
			Collections.rotate(waitingRanks, -1);
		}
		for (RankQueue<T> rankQueue : waitingRanks) {
			for (Flow<T> flow : rankQueue.orderedFlows()) {
				for (Ticket<T> ticket : flow.tickets) {
					if (acquire.test(ticket)) {
						rankQueue.passedOver(flow, ticket)
							.forEach((workspace) -> this.passedOverAtMillis.put(workspace, nowMillis));
						rankQueue.charge(flow);
						if (contended) {
							this.lowerRankCredit = Math.max(0, (rankQueue == highest)
									? Math.min(1, this.lowerRankCredit + GUARANTEED_SHARE) : this.lowerRankCredit - 1);
						}
						remove(ticket);
						// A request that did not wait gives no information about the
						// rate at which waiting requests get slots.
						if (this.size > 0 || nowMillis > ticket.offeredMillis) {
							this.rate.drained();
						}
						return ticket;
					}
				}
			}
		}
		return null;
	}

	/**
	 * Removes a waiting request.
	 * @param ticket the request
	 * @return false if it was no longer waiting
	 */
	public boolean remove(Ticket<T> ticket) {
		if (!ticket.waiting) {
			return false;
		}
		ticket.waiting = false;
		this.size--;
		RankQueue<T> rankQueue = this.ranks.get(Rank.of(ticket.request));
		if (rankQueue != null) {
			rankQueue.remove(ticket);
		}
		if (this.size == 0) {
			// Without waiting requests there is no contention, and so no debt of a
			// workspace that got more slots than others.
			this.ranks.clear();
			this.lowerRankCredit = 0;
		}
		return true;
	}

	/**
	 * Refuses a request that still waits at the time by which it had to begin.
	 * @param ticket the request
	 * @param supply the slots at the time of the call
	 * @param nowMillis the current time, in milliseconds
	 * @return the refusal, or null if the request was no longer waiting
	 */
	public @Nullable Refused refuse(Ticket<T> ticket, Supply supply, long nowMillis) {
		advance(nowMillis);
		long expectedWait = ticket.waiting ? expectedWait(ticket, supply) : 0;
		return remove(ticket) ? new Refused(Reason.WAITED, retryAfter(expectedWait)) : null;
	}

	/**
	 * Returns the workspaces that are held to their share: a request of another workspace
	 * with a later deadline recently got a slot first, because the workspace had more
	 * slots than its share.
	 * @param nowMillis the current time, in milliseconds
	 * @return the workspaces
	 */
	public Set<String> heldWorkspaces(long nowMillis) {
		this.passedOverAtMillis.values().removeIf((millis) -> nowMillis - millis >= SHARE_HOLD_MILLIS);
		return Set.copyOf(this.passedOverAtMillis.keySet());
	}

	/**
	 * Records for how long a request that was served held its slot.
	 * @param heldMillis the time, in milliseconds
	 */
	public void onServed(long heldMillis) {
		if (this.holdMillis == 0) {
			this.holdMillis = heldMillis;
			this.holdDeviationMillis = heldMillis / 2.0;
			return;
		}
		double error = heldMillis - this.holdMillis;
		this.holdMillis += HOLD_TIME_EWMA_WEIGHT * error;
		this.holdDeviationMillis += HOLD_TIME_EWMA_WEIGHT * (Math.abs(error) - this.holdDeviationMillis);
	}

	private void advance(long nowMillis) {
		this.rate.advance(nowMillis, this.size > 0);
	}

	// The latest begin that leaves enough time for the work itself.
	private long latestBegin(Request request, long nowMillis) {
		long remainingMillis = Math.max(0, request.deadlineMillis() - nowMillis);
		double workMillis = this.holdMillis + HOLD_TIME_DEVIATIONS * this.holdDeviationMillis;
		double waitMillis = (this.holdMillis == 0) ? 0
				: Math.min(MAX_WAIT_SHARE * remainingMillis, remainingMillis - workMillis);
		return Math.max(request.waitDeadlineMillis(), nowMillis + (long) waitMillis);
	}

	// Returns 0 if nothing is known about the rate at which slots become free.
	private long expectedWait(Ticket<T> ticket, Supply supply) {
		// The running requests show a change of the pace first, but slots that other
		// hosts
		// hold may become free for this one too.
		double perMillisecond = Math.max(this.rate.perMillisecond(),
				(this.holdMillis > 0) ? supply.running() / this.holdMillis : 0);
		if (perMillisecond <= 0) {
			return 0;
		}
		Rank rank = Rank.of(ticket.request);
		RankQueue<T> own = this.ranks.get(rank);
		int aheadInRank = (own != null) ? own.countAhead(ticket) : 0;
		int higher = this.ranks.headMap(rank).values().stream().mapToInt((queue) -> queue.size).sum();
		double slotsUntilBegin = Math.min(higher + aheadInRank + 1, (aheadInRank + 1) / GUARANTEED_SHARE);
		return (long) (slotsUntilBegin / perMillisecond);
	}

	private long retryAfter(long expectedWaitMillis) {
		long wait = (expectedWaitMillis > 0) ? expectedWaitMillis : UNKNOWN_WAIT_MILLIS;
		return Math.max(MIN_RETRY_AFTER_MILLIS, (long) (wait * (1 + MAX_JITTER * this.random.nextDouble())));
	}

	/**
	 * A request that needs a slot.
	 *
	 * @param workspace the workspace; empty for none
	 * @param priority the priority of the workspace, or of the route if the workspace has
	 * none; 0 is the highest
	 * @param interactive whether a caller waits for the response
	 * @param accepted whether the request belongs to work that was accepted before, so
	 * that it waits even if it is not expected to begin in time
	 * @param deadlineMillis the deadline of the response, in milliseconds
	 * @param waitDeadlineMillis the time until which the request may wait whatever its
	 * work takes, in milliseconds
	 */
	public record Request(String workspace, int priority, boolean interactive, boolean accepted, long deadlineMillis,
			long waitDeadlineMillis) {

		public Request {
			Objects.requireNonNull(workspace, "workspace");
		}

	}

	/**
	 * The slots of the service.
	 *
	 * @param running the number of slots that requests of this host hold
	 * @param slotFree whether the request that is offered could use a slot now; such a
	 * request is never refused
	 */
	public record Supply(int running, boolean slotFree) {

		public Supply {
			if (running < 0) {
				throw new IllegalArgumentException("running must not be negative: " + running);
			}
		}

	}

	/**
	 * The reason of a refusal.
	 */
	public enum Reason {

		/** The request was not expected to begin in time. */
		EXPECTED_WAIT("expected-wait"),

		/** The request waited until it could no longer begin in time. */
		WAITED("waited");

		private final String label;

		Reason(String label) {
			this.label = label;
		}

		/**
		 * Returns the label of the reason in metrics.
		 * @return the label
		 */
		public String label() {
			return this.label;
		}

	}

	/**
	 * A refusal.
	 *
	 * @param reason the reason
	 * @param retryAfterMillis the expected wait with jitter, in milliseconds
	 */
	public record Refused(Reason reason, long retryAfterMillis) {
	}

	/**
	 * A waiting request.
	 *
	 * @param <T> the type of the attached object
	 */
	public static final class Ticket<T> {

		private static final Comparator<Ticket<?>> EARLIEST_FIRST = Comparator
			.comparingLong((Ticket<?> ticket) -> ticket.request.deadlineMillis())
			.thenComparingLong((ticket) -> ticket.sequence);

		private final Request request;

		private final T attachment;

		private final long latestBeginMillis;

		private final long offeredMillis;

		private final long sequence;

		private boolean waiting;

		private Ticket(Request request, T attachment, long latestBeginMillis, long offeredMillis, long sequence) {
			this.request = Objects.requireNonNull(request, "request");
			this.attachment = Objects.requireNonNull(attachment, "attachment");
			this.latestBeginMillis = latestBeginMillis;
			this.offeredMillis = offeredMillis;
			this.sequence = sequence;
		}

		/**
		 * Returns the attached object.
		 * @return the object
		 */
		public T attachment() {
			return this.attachment;
		}

		/**
		 * Returns when the request has to be refused if it still waits.
		 * @return the time, in milliseconds, at which the remaining time still suffices
		 * for the work
		 */
		public long latestBeginMillis() {
			return this.latestBeginMillis;
		}

		/**
		 * Returns when the request was offered.
		 * @return the time, in milliseconds
		 */
		public long offeredMillis() {
			return this.offeredMillis;
		}

	}

	private record Rank(int priority, boolean background) implements Comparable<Rank> {

		private static final Comparator<Rank> ORDER = Comparator.comparingInt(Rank::priority)
			.thenComparing(Rank::background);

		private static Rank of(Request request) {
			return new Rank(request.priority(), !request.interactive());
		}

		@Override
		public int compareTo(Rank other) {
			return ORDER.compare(this, other);
		}

	}

	private static final class RankQueue<T> {

		private final Map<String, Flow<T>> flows = new HashMap<>();

		private double virtualTime;

		private int size;

		private void add(Ticket<T> ticket) {
			Flow<T> flow = this.flows.computeIfAbsent(ticket.request.workspace(), (unused) -> new Flow<>());
			if (flow.tickets.isEmpty()) {
				flow.startTag = Math.max(flow.startTag, this.virtualTime);
			}
			flow.tickets.add(ticket);
			this.size++;
		}

		private void remove(Ticket<T> ticket) {
			Flow<T> flow = this.flows.get(ticket.request.workspace());
			if (flow != null && flow.tickets.remove(ticket)) {
				this.size--;
			}
		}

		private void charge(Flow<T> flow) {
			this.virtualTime = Math.max(this.virtualTime, flow.startTag);
			flow.startTag++;
		}

		private List<String> passedOver(Flow<T> chosen, Ticket<T> ticket) {
			return this.flows.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().startTag > chosen.startTag && !entry.getValue().tickets.isEmpty()
						&& entry.getValue().tickets.first().request.deadlineMillis() < ticket.request.deadlineMillis())
				.map(Map.Entry::getKey)
				.toList();
		}

		private List<Flow<T>> orderedFlows() {
			List<Flow<T>> ordered = new ArrayList<>();
			this.flows.values().stream().filter((flow) -> !flow.tickets.isEmpty()).forEach(ordered::add);
			ordered.sort(Comparator.comparingDouble((Flow<T> flow) -> flow.startTag)
				.thenComparing((flow) -> flow.tickets.first(), Ticket.EARLIEST_FIRST));
			return ordered;
		}

		// Counts the waiting requests that get a slot before a request, which may wait
		// itself.
		private int countAhead(Ticket<T> ticket) {
			Flow<T> own = this.flows.get(ticket.request.workspace());
			int ahead = (own != null) ? own.tickets.headSet(ticket).size() : 0;
			double ownTag = ahead + ((own != null) ? Math.max(own.startTag, this.virtualTime) : this.virtualTime);
			for (Flow<T> flow : this.flows.values()) {
				if (flow != own && !flow.tickets.isEmpty()) {
					double lead = ownTag - flow.startTag;
					boolean firstOnTie = Ticket.EARLIEST_FIRST.compare(flow.tickets.first(), ticket) < 0;
					int before = (int) (firstOnTie ? Math.floor(lead) + 1 : Math.ceil(lead));
					ahead += Math.max(0, Math.min(flow.tickets.size(), before));
				}
			}
			return ahead;
		}

	}

	// The requests of one workspace and rank. The start tag is the virtual time at which
	// the next of them begins.
	private static final class Flow<T> {

		private final TreeSet<Ticket<T>> tickets = new TreeSet<>(Ticket.EARLIEST_FIRST);

		private double startTag;

	}

}
