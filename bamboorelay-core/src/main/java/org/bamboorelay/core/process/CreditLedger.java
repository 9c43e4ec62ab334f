package org.bamboorelay.core.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;

import io.vavr.control.Option;
import org.bamboorelay.core.version.EndpointId;

/**
 * The credits of one service at the owner of some of its endpoints. A credit is lent only
 * while fewer credits of its endpoint are out than the endpoint's allowance, and lapses
 * unless renewed.
 * <p>
 * A new owner lends nothing for one credit length: by then the credits of its predecessor
 * were either adopted or have lapsed. The same holds for an owner that was frozen, as
 * another may have taken its place and credits could not be renewed.
 * <p>
 * A credit that lapsed still counts until the endpoint reports that it runs no more than
 * the credits that are out: its holder may be frozen or cut off, and its request goes on.
 * <p>
 * Not thread-safe; guarded by the shard of the service.
 */
public final class CreditLedger {

	/** How long a credit lasts unless renewed, in milliseconds. */
	public static final long CREDIT_MILLIS = 3_000;

	/**
	 * Time between two operations above which this process counts as frozen, in
	 * milliseconds. Credits are expired each 100 ms.
	 */
	private static final long FREEZE_MILLIS = 1_500;

	/** Part of a steady endpoint's allowance that rollout samples leave free. */
	private static final int INTERACTIVE_RESERVE = 8;

	private final Map<EndpointId, Slot> slots = new HashMap<>();

	/** All credits last equally long, so the order of renewal is that of expiry. */
	private final LinkedHashMap<Long, Lent> lent = new LinkedHashMap<>();

	private final Deque<Slot> held = new ArrayDeque<>();

	private final EndpointSelection selection;

	private final LongSupplier ids;

	private boolean ramp = true;

	private int freeInteractive;

	private int freeRollout;

	private long lapsed;

	private long expiredMillis = Long.MAX_VALUE;

	private CreditLedger(EndpointSelection selection, LongSupplier ids) {
		this.selection = selection;
		this.ids = ids;
	}

	/**
	 * Creates a ledger without endpoints.
	 * @param selection picks endpoints; used by this ledger only
	 * @param ids gives the ids of credits, which must never repeat
	 * @return the ledger
	 */
	public static CreditLedger of(EndpointSelection selection, LongSupplier ids) {
		return new CreditLedger(Objects.requireNonNull(selection, "selection"), Objects.requireNonNull(ids, "ids"));
	}

	/**
	 * Returns the credits that could be lent now.
	 * @param interactive true for interactive requests, false for rollout samples
	 * @return the number of credits
	 */
	public int free(boolean interactive) {
		return interactive ? this.freeInteractive : this.freeRollout;
	}

	/**
	 * Returns the credits of an endpoint that are out.
	 * @param endpoint the endpoint
	 * @return the number of credits; 0 where the endpoint is not owned
	 */
	public int lent(EndpointId endpoint) {
		Slot slot = this.slots.get(endpoint);
		return (slot != null) ? slot.lent : 0;
	}

	/**
	 * Returns the allowance of an endpoint.
	 * @param endpoint the endpoint
	 * @return the allowance; 0 where the endpoint is not owned
	 */
	public int allowance(EndpointId endpoint) {
		Slot slot = this.slots.get(endpoint);
		return (slot != null) ? slot.allowance.value() : 0;
	}

	/**
	 * Returns the credits that lapsed so far.
	 * @return the number of credits
	 */
	public long lapsed() {
		return this.lapsed;
	}

	/**
	 * Returns the owned endpoints.
	 * @return the endpoints
	 */
	public Set<EndpointId> owned() {
		return Set.copyOf(this.slots.keySet());
	}

	/**
	 * Switches between policies and their baselines.
	 * @param rampOn false for the baseline {@code no-ramp}
	 * @param affinityOn false for the baseline {@code round-robin}
	 */
	public void policies(boolean rampOn, boolean affinityOn) {
		this.ramp = rampOn;
		this.selection.affinity(affinityOn);
		this.slots.values().forEach((slot) -> {
			slot.allowance.ramp(rampOn);
			refresh(slot);
		});
	}

	/**
	 * Starts to own an endpoint. Has no effect where it is owned already.
	 * @param endpoint the endpoint
	 * @param cheap whether it may serve repeatable requests only
	 * @param capacity its capacity until it reports one
	 * @param nowMillis the time, in milliseconds
	 */
	public void own(EndpointId endpoint, boolean cheap, int capacity, long nowMillis) {
		if (this.slots.containsKey(endpoint)) {
			return;
		}
		Slot slot = new Slot(endpoint, cheap, EndpointAllowance.of(this.ramp, capacity), nowMillis + CREDIT_MILLIS);
		this.slots.put(endpoint, slot);
		this.held.add(slot);
		this.selection.add(endpoint, cheap);
	}

	/**
	 * Stops owning an endpoint; its credits are forgotten, and their holders register
	 * with the new owner.
	 * @param endpoint the endpoint
	 */
	public void disown(EndpointId endpoint) {
		Slot slot = this.slots.remove(endpoint);
		if (slot == null) {
			return;
		}
		slot.accepting = false;
		refresh(slot);
		this.held.remove(slot);
		this.selection.remove(endpoint);
		if (slot.lent > 0) {
			this.lent.values().removeIf((credit) -> credit.slot == slot);
		}
	}

	/**
	 * Notes whether an endpoint takes new work.
	 * @param endpoint the endpoint
	 * @param accepting false where it is leaving, unreachable or in a failure domain
	 * taken out
	 */
	public void accepting(EndpointId endpoint, boolean accepting) {
		Slot slot = this.slots.get(endpoint);
		if (slot != null && slot.accepting != accepting) {
			slot.accepting = accepting;
			refresh(slot);
		}
	}

	/**
	 * Takes a load report of an endpoint.
	 * @param endpoint the endpoint
	 * @param incarnation its incarnation
	 * @param warm whether it says that it is warm
	 * @param capacity the capacity that it reports
	 * @param running the requests that it serves or queues
	 * @param nowMillis the time, in milliseconds
	 */
	public void reported(EndpointId endpoint, String incarnation, boolean warm, int capacity, int running,
			long nowMillis) {
		Slot slot = this.slots.get(endpoint);
		if (slot == null) {
			return;
		}
		if (slot.allowance.reported(incarnation, warm, capacity)) {
			this.selection.cacheGap(endpoint, nowMillis);
		}
		slot.lapsed = Math.min(slot.lapsed, Math.max(0, running - slot.lent));
		refresh(slot);
	}

	/**
	 * Lends a credit.
	 * @param query what is to be sent
	 * @param nowMillis the time, in milliseconds
	 * @return the credit, or nothing where no endpoint can take the request
	 */
	public Option<Loan> lend(EndpointSelection.Query query, long nowMillis) {
		expire(nowMillis);
		EndpointId endpoint = this.selection.choose(query);
		Slot slot = (endpoint != null) ? this.slots.get(endpoint) : null;
		if (slot == null) {
			return Option.none();
		}
		long id = enter(slot, slot.allowance.phase(), query.prefixHash(), query.expectedTokens(), nowMillis);
		return Option.some(new Loan(id, slot.endpoint));
	}

	/**
	 * Renews a credit.
	 * @param credit the credit
	 * @param nowMillis the time, in milliseconds
	 * @return false where the credit is not known, because it lapsed or is not ours
	 */
	public boolean renew(long credit, long nowMillis) {
		expire(nowMillis);
		Lent entry = this.lent.remove(credit);
		if (entry == null) {
			return false;
		}
		this.lent.put(credit, new Lent(entry.slot, entry.phase, entry.tokens, nowMillis + CREDIT_MILLIS));
		return true;
	}

	/**
	 * Registers a request that runs on an endpoint already. It counts against the
	 * allowance even where it exceeds it, as it cannot be undone.
	 * @param endpoint the endpoint
	 * @param nowMillis the time, in milliseconds
	 * @return the new credit, or nothing where the endpoint is not owned
	 */
	public Option<Long> adopt(EndpointId endpoint, long nowMillis) {
		expire(nowMillis);
		Slot slot = this.slots.get(endpoint);
		if (slot == null) {
			return Option.none();
		}
		long id = enter(slot, EndpointAllowance.UNKNOWN_PHASE, 0, 1, nowMillis);
		if (nowMillis < slot.heldUntilMillis) {
			slot.allowance.adopted(slot.lent);
		}
		refresh(slot);
		return Option.some(id);
	}

	/**
	 * Takes a credit back. Has no effect where the credit is not known.
	 * @param credit the credit
	 * @param outcome how the request ended
	 * @param firstByteMillis time to the first byte of the answer, in milliseconds
	 * @param nowMillis the time, in milliseconds
	 */
	public void giveBack(long credit, Outcome outcome, long firstByteMillis, long nowMillis) {
		expire(nowMillis);
		Lent entry = this.lent.remove(credit);
		if (entry == null) {
			return;
		}
		boolean answered = outcome == Outcome.OK;
		if (answered) {
			entry.slot.allowance.answered(firstByteMillis, entry.phase);
		}
		else if (outcome == Outcome.FAILED || outcome == Outcome.REFUSED) {
			entry.slot.allowance.failed();
		}
		leave(entry, answered ? firstByteMillis : -1);
	}

	/**
	 * Drops credits that were not renewed in time, and starts lending for endpoints that
	 * were owned for one credit length. After a freeze all endpoints are held again. All
	 * other operations that lend or take back call this themselves.
	 * @param nowMillis the time, in milliseconds
	 */
	public void expire(long nowMillis) {
		if (nowMillis - FREEZE_MILLIS > this.expiredMillis) {
			holdAll(nowMillis + CREDIT_MILLIS);
		}
		this.expiredMillis = nowMillis;
		while (!this.held.isEmpty() && this.held.peekFirst().heldUntilMillis <= nowMillis) {
			Slot slot = this.held.removeFirst();
			slot.holding = false;
			refresh(slot);
		}
		Iterator<Lent> entries = this.lent.values().iterator();
		while (entries.hasNext()) {
			Lent entry = entries.next();
			if (entry.expiresMillis > nowMillis) {
				break;
			}
			entries.remove();
			entry.slot.lapsed++;
			leave(entry, -1);
			this.lapsed++;
		}
	}

	private void holdAll(long untilMillis) {
		this.held.clear();
		this.slots.values().forEach((slot) -> {
			slot.heldUntilMillis = untilMillis;
			slot.holding = true;
			this.held.add(slot);
			refresh(slot);
		});
	}

	private long enter(Slot slot, int phase, long prefixHash, long tokens, long nowMillis) {
		long id = this.ids.getAsLong();
		this.lent.put(id, new Lent(slot, phase, tokens, nowMillis + CREDIT_MILLIS));
		slot.lent++;
		this.selection.sent(slot.endpoint, prefixHash, tokens, nowMillis);
		refresh(slot);
		return id;
	}

	private void leave(Lent entry, long latencyMillis) {
		entry.slot.lent--;
		this.selection.ended(entry.slot.endpoint, entry.tokens, latencyMillis);
		refresh(entry.slot);
	}

	private void refresh(Slot slot) {
		int allowance = slot.allowance.value();
		int room = (slot.accepting && !slot.holding) ? Math.max(0, allowance - slot.lent - slot.lapsed) : 0;
		int rollout = slot.cheap ? room : Math.max(0, room - allowance / INTERACTIVE_RESERVE);
		this.freeInteractive += room - slot.room;
		this.freeRollout += rollout - slot.rolloutRoom;
		slot.room = room;
		slot.rolloutRoom = rollout;
		this.selection.room(slot.endpoint, room > 0, rollout > 0);
	}

	/**
	 * How a request ended, as its holder saw it.
	 */
	public enum Outcome {

		/** The answer was whole. */
		OK,

		/** The endpoint failed. */
		FAILED,

		/** The endpoint refused for load. */
		REFUSED,

		/** Nothing was sent, or the caller gave up. */
		UNUSED

	}

	/**
	 * A credit that was lent.
	 *
	 * @param credit id of the credit
	 * @param endpoint the endpoint
	 */
	public record Loan(long credit, EndpointId endpoint) {
	}

	private record Lent(Slot slot, int phase, long tokens, long expiresMillis) {
	}

	private static final class Slot {

		private final EndpointId endpoint;

		private final boolean cheap;

		private final EndpointAllowance allowance;

		private long heldUntilMillis;

		private boolean holding = true;

		/** Credits that lapsed, and whose requests may still run. */
		private int lapsed;

		private boolean accepting = true;

		private int lent;

		private int room;

		private int rolloutRoom;

		private Slot(EndpointId endpoint, boolean cheap, EndpointAllowance allowance, long heldUntilMillis) {
			this.endpoint = endpoint;
			this.cheap = cheap;
			this.allowance = allowance;
			this.heldUntilMillis = heldUntilMillis;
		}

	}

}
