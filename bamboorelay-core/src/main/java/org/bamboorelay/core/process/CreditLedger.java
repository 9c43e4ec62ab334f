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
 * Credits of one service, kept by the host that owns some of its endpoints. A credit
 * permits one request at an endpoint. It is granted only while the endpoint has fewer
 * outstanding credits than its concurrency limit, and it expires unless renewed.
 * <p>
 * A new owner grants nothing for one credit lifetime; by then the credits of the previous
 * owner have been adopted or have expired. The same holds for an owner whose process was
 * paused, because another host may have become the owner and credits could not be
 * renewed.
 * <p>
 * An expired credit counts against the limit until the endpoint reports that it runs no
 * more requests than there are outstanding credits, because the holder may be paused or
 * disconnected while its request continues.
 * <p>
 * Not thread-safe; guarded by the shard of the service.
 */
public final class CreditLedger {

	/** Lifetime of a credit that is not renewed, in milliseconds. */
	public static final long CREDIT_LIFETIME_MILLIS = 3_000;

	/**
	 * Time between two operations from which a pause of this process is inferred, in
	 * milliseconds. Credits are expired every 100 ms.
	 */
	private static final long PROCESS_PAUSE_MILLIS = 1_500;

	/**
	 * Divisor of a steady endpoint's concurrency limit that gives the credits reserved
	 * for interactive requests.
	 */
	private static final int INTERACTIVE_RESERVE_DIVISOR = 8;

	private final Map<EndpointId, EndpointState> endpoints = new HashMap<>();

	/** All credits have the same lifetime, so insertion order is the order of expiry. */
	private final LinkedHashMap<Long, OutstandingCredit> outstanding = new LinkedHashMap<>();

	private final Deque<EndpointState> suspendedEndpoints = new ArrayDeque<>();

	private final EndpointSelection selection;

	private final LongSupplier ids;

	private boolean ramp = true;

	private int freeInteractive;

	private int freeRollout;

	private long expiredCredits;

	private long lastExpiryMillis = Long.MAX_VALUE;

	private CreditLedger(EndpointSelection selection, LongSupplier ids) {
		this.selection = selection;
		this.ids = ids;
	}

	/**
	 * Creates a ledger without endpoints.
	 * @param selection chooses endpoints; must not be shared with another ledger
	 * @param ids generates the ids of credits, which must be unique
	 * @return the ledger
	 */
	public static CreditLedger of(EndpointSelection selection, LongSupplier ids) {
		return new CreditLedger(Objects.requireNonNull(selection, "selection"), Objects.requireNonNull(ids, "ids"));
	}

	/**
	 * Returns the number of credits that can be granted now.
	 * @param interactive true for interactive requests, false for rollout samples
	 * @return the number of credits
	 */
	public int free(boolean interactive) {
		return interactive ? this.freeInteractive : this.freeRollout;
	}

	/**
	 * Returns the number of outstanding credits of an endpoint.
	 * @param endpoint the endpoint
	 * @return the number of credits; 0 if the endpoint is not owned
	 */
	public int outstanding(EndpointId endpoint) {
		EndpointState state = this.endpoints.get(endpoint);
		return (state != null) ? state.outstanding : 0;
	}

	/**
	 * Returns the concurrency limit of an endpoint.
	 * @param endpoint the endpoint
	 * @return the limit; 0 if the endpoint is not owned
	 */
	public int concurrencyLimit(EndpointId endpoint) {
		EndpointState state = this.endpoints.get(endpoint);
		return (state != null) ? state.concurrencyLimit.value() : 0;
	}

	/**
	 * Returns the number of credits that have expired since the ledger was created.
	 * @return the number of credits
	 */
	public long expiredCredits() {
		return this.expiredCredits;
	}

	/**
	 * Returns the owned endpoints.
	 * @return the endpoints
	 */
	public Set<EndpointId> ownedEndpoints() {
		return Set.copyOf(this.endpoints.keySet());
	}

	/**
	 * Switches policies on, or off in favour of their baselines.
	 * @param rampOn false for the baseline {@code no-ramp}
	 * @param affinityOn false for the baseline {@code round-robin}
	 */
	public void policies(boolean rampOn, boolean affinityOn) {
		this.ramp = rampOn;
		this.selection.affinity(affinityOn);
		this.endpoints.values().forEach((state) -> {
			state.concurrencyLimit.ramp(rampOn);
			refresh(state);
		});
	}

	/**
	 * Adds an endpoint that this host owns now. Has no effect if it is owned already.
	 * @param endpoint the endpoint
	 * @param cheap whether it may serve only repeatable requests
	 * @param capacity its capacity until it reports one
	 * @param nowMillis the time, in milliseconds
	 */
	public void addEndpoint(EndpointId endpoint, boolean cheap, int capacity, long nowMillis) {
		if (this.endpoints.containsKey(endpoint)) {
			return;
		}
		EndpointState state = new EndpointState(endpoint, cheap, EndpointConcurrencyLimit.of(this.ramp, capacity),
				nowMillis + CREDIT_LIFETIME_MILLIS);
		this.endpoints.put(endpoint, state);
		this.suspendedEndpoints.add(state);
		this.selection.add(endpoint, cheap);
	}

	/**
	 * Removes an endpoint that this host no longer owns. Its credits are dropped; their
	 * holders register with the new owner.
	 * @param endpoint the endpoint
	 */
	public void removeEndpoint(EndpointId endpoint) {
		EndpointState state = this.endpoints.remove(endpoint);
		if (state == null) {
			return;
		}
		state.accepting = false;
		refresh(state);
		this.suspendedEndpoints.remove(state);
		this.selection.remove(endpoint);
		if (state.outstanding > 0) {
			this.outstanding.values().removeIf((credit) -> credit.state == state);
		}
	}

	/**
	 * Sets whether an endpoint accepts new requests.
	 * @param endpoint the endpoint
	 * @param accepting false if it is leaving, unreachable or in a disabled failure
	 * domain
	 */
	public void accepting(EndpointId endpoint, boolean accepting) {
		EndpointState state = this.endpoints.get(endpoint);
		if (state != null && state.accepting != accepting) {
			state.accepting = accepting;
			refresh(state);
		}
	}

	/**
	 * Handles a load report of an endpoint.
	 * @param endpoint the endpoint
	 * @param incarnation its incarnation
	 * @param warm whether it reports that it is warm
	 * @param capacity the capacity that it reports
	 * @param running the number of requests that it serves or queues
	 * @param nowMillis the time, in milliseconds
	 */
	public void onLoadReport(EndpointId endpoint, String incarnation, boolean warm, int capacity, int running,
			long nowMillis) {
		EndpointState state = this.endpoints.get(endpoint);
		if (state == null) {
			return;
		}
		if (state.concurrencyLimit.onLoadReport(incarnation, warm, capacity)) {
			this.selection.onCacheGap(endpoint, nowMillis);
		}
		state.expiredCredits = Math.min(state.expiredCredits, Math.max(0, running - state.outstanding));
		refresh(state);
	}

	/**
	 * Grants a credit.
	 * @param query the request to be sent
	 * @param nowMillis the time, in milliseconds
	 * @return the credit, or none if no endpoint can accept the request
	 */
	public Option<GrantedCredit> grant(EndpointSelection.Query query, long nowMillis) {
		expire(nowMillis);
		EndpointId endpoint = this.selection.choose(query);
		EndpointState state = (endpoint != null) ? this.endpoints.get(endpoint) : null;
		if (state == null) {
			return Option.none();
		}
		long id = addCredit(state, state.concurrencyLimit.phase(), query.prefixHash(), query.expectedTokens(),
				nowMillis);
		return Option.some(new GrantedCredit(id, state.endpoint));
	}

	/**
	 * Renews a credit.
	 * @param credit the credit
	 * @param nowMillis the time, in milliseconds
	 * @return false if the credit is unknown, because it expired or another host granted
	 * it
	 */
	public boolean renew(long credit, long nowMillis) {
		expire(nowMillis);
		OutstandingCredit entry = this.outstanding.remove(credit);
		if (entry == null) {
			return false;
		}
		this.outstanding.put(credit,
				new OutstandingCredit(entry.state, entry.phase, entry.tokens, nowMillis + CREDIT_LIFETIME_MILLIS));
		return true;
	}

	/**
	 * Registers a request that already runs on an endpoint. It counts against the
	 * concurrency limit even if it exceeds the limit, because it cannot be undone.
	 * @param endpoint the endpoint
	 * @param nowMillis the time, in milliseconds
	 * @return the new credit, or none if the endpoint is not owned
	 */
	public Option<Long> adopt(EndpointId endpoint, long nowMillis) {
		expire(nowMillis);
		EndpointState state = this.endpoints.get(endpoint);
		if (state == null) {
			return Option.none();
		}
		long id = addCredit(state, EndpointConcurrencyLimit.UNKNOWN_PHASE, 0, 1, nowMillis);
		if (nowMillis < state.suspendedUntilMillis) {
			state.concurrencyLimit.onAdopted(state.outstanding);
		}
		refresh(state);
		return Option.some(id);
	}

	/**
	 * Releases a credit. Has no effect if the credit is unknown.
	 * @param credit the credit
	 * @param outcome the outcome of the request
	 * @param firstByteMillis the time to the first byte of the response, in milliseconds
	 * @param nowMillis the time, in milliseconds
	 */
	public void release(long credit, Outcome outcome, long firstByteMillis, long nowMillis) {
		expire(nowMillis);
		OutstandingCredit entry = this.outstanding.remove(credit);
		if (entry == null) {
			return;
		}
		boolean answered = outcome == Outcome.OK;
		if (answered) {
			entry.state.concurrencyLimit.onResponse(firstByteMillis, entry.phase);
		}
		else if (outcome == Outcome.FAILED || outcome == Outcome.REFUSED) {
			entry.state.concurrencyLimit.onFailure();
		}
		removeCredit(entry, answered ? firstByteMillis : -1);
	}

	/**
	 * Removes credits that were not renewed in time, and starts granting credits for
	 * endpoints that have been owned for one credit lifetime. After a pause of the
	 * process all endpoints are suspended again. The other operations that grant, renew,
	 * adopt or release credits call this method themselves.
	 * @param nowMillis the time, in milliseconds
	 */
	public void expire(long nowMillis) {
		if (nowMillis - PROCESS_PAUSE_MILLIS > this.lastExpiryMillis) {
			suspendAll(nowMillis + CREDIT_LIFETIME_MILLIS);
		}
		this.lastExpiryMillis = nowMillis;
		while (!this.suspendedEndpoints.isEmpty()
				&& this.suspendedEndpoints.peekFirst().suspendedUntilMillis <= nowMillis) {
			EndpointState state = this.suspendedEndpoints.removeFirst();
			state.suspended = false;
			refresh(state);
		}
		Iterator<OutstandingCredit> entries = this.outstanding.values().iterator();
		while (entries.hasNext()) {
			OutstandingCredit entry = entries.next();
			if (entry.expiresAtMillis > nowMillis) {
				break;
			}
			entries.remove();
			entry.state.expiredCredits++;
			removeCredit(entry, -1);
			this.expiredCredits++;
		}
	}

	private void suspendAll(long untilMillis) {
		this.suspendedEndpoints.clear();
		this.endpoints.values().forEach((state) -> {
			state.suspendedUntilMillis = untilMillis;
			state.suspended = true;
			this.suspendedEndpoints.add(state);
			refresh(state);
		});
	}

	private long addCredit(EndpointState state, int phase, long prefixHash, long tokens, long nowMillis) {
		long id = this.ids.getAsLong();
		this.outstanding.put(id, new OutstandingCredit(state, phase, tokens, nowMillis + CREDIT_LIFETIME_MILLIS));
		state.outstanding++;
		this.selection.onSent(state.endpoint, prefixHash, tokens, nowMillis);
		refresh(state);
		return id;
	}

	private void removeCredit(OutstandingCredit entry, long latencyMillis) {
		entry.state.outstanding--;
		this.selection.onEnded(entry.state.endpoint, entry.tokens, latencyMillis);
		refresh(entry.state);
	}

	private void refresh(EndpointState state) {
		int concurrencyLimit = state.concurrencyLimit.value();
		int available = (state.accepting && !state.suspended)
				? Math.max(0, concurrencyLimit - state.outstanding - state.expiredCredits) : 0;
		int rollout = state.cheap ? available : Math.max(0, available - concurrencyLimit / INTERACTIVE_RESERVE_DIVISOR);
		this.freeInteractive += available - state.available;
		this.freeRollout += rollout - state.availableToRollout;
		state.available = available;
		state.availableToRollout = rollout;
		this.selection.available(state.endpoint, available > 0, rollout > 0);
	}

	/**
	 * The outcome of a request, as seen by the holder of its credit.
	 */
	public enum Outcome {

		/** The response was complete. */
		OK,

		/** The endpoint failed. */
		FAILED,

		/** The endpoint refused the request because of its load. */
		REFUSED,

		/** Nothing was sent, or the caller cancelled the request. */
		UNUSED

	}

	/**
	 * A granted credit.
	 *
	 * @param credit the id of the credit
	 * @param endpoint the endpoint
	 */
	public record GrantedCredit(long credit, EndpointId endpoint) {
	}

	private record OutstandingCredit(EndpointState state, int phase, long tokens, long expiresAtMillis) {
	}

	private static final class EndpointState {

		private final EndpointId endpoint;

		private final boolean cheap;

		private final EndpointConcurrencyLimit concurrencyLimit;

		private long suspendedUntilMillis;

		private boolean suspended = true;

		/** Expired credits whose requests may still be running. */
		private int expiredCredits;

		private boolean accepting = true;

		private int outstanding;

		private int available;

		private int availableToRollout;

		private EndpointState(EndpointId endpoint, boolean cheap, EndpointConcurrencyLimit concurrencyLimit,
				long suspendedUntilMillis) {
			this.endpoint = endpoint;
			this.cheap = cheap;
			this.concurrencyLimit = concurrencyLimit;
			this.suspendedUntilMillis = suspendedUntilMillis;
		}

	}

}
