package org.bamboorelay.core.process;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.LongPredicate;

import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.FailureDomain;

/**
 * A state machine that writes objects of a failure domain while this process holds the
 * domain's lease. It stops writing once it sees an object that was written under a higher
 * fencing number. Each write carries a unique token, by which the holder recognizes its
 * own write when the response to it was lost.
 * <p>
 * Thread-safe; guarded by its own lock, which subclasses must hold when they call the
 * methods of this class.
 */
public abstract class FencedStateMachine implements StoreStateMachine {

	private static final long MAX_RETRY_DELAY_MILLIS = 5_000;

	private final FailureDomain domain;

	private final String holder;

	private final Clock clock;

	private final LongPredicate leaseHeld;

	private final Backoff backoff;

	private final Set<String> ownTokens = new HashSet<>();

	private long fencing;

	private boolean fencedOff;

	private long nextOperationMillis;

	private long tokenCount;

	/**
	 * Creates the state machine.
	 * @param domain the failure domain
	 * @param holder the name of this process, unique for each start of it
	 * @param clock the monotonic clock of the process
	 * @param leaseHeld tells whether this process holds the domain's lease under a given
	 * fencing number
	 * @param retryBaseMillis the delay after the first failed call, in milliseconds
	 * @param random returns numbers from 0 (inclusive) to 1 (exclusive), for jitter
	 */
	FencedStateMachine(FailureDomain domain, String holder, Clock clock, LongPredicate leaseHeld, long retryBaseMillis,
			DoubleSupplier random) {
		this.domain = Objects.requireNonNull(domain, "domain");
		this.holder = Objects.requireNonNull(holder, "holder");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.leaseHeld = Objects.requireNonNull(leaseHeld, "leaseHeld");
		this.backoff = Backoff.of(retryBaseMillis, MAX_RETRY_DELAY_MILLIS, random);
	}

	/**
	 * Starts a term as holder of the domain's lease. Does nothing if the term has started
	 * already.
	 * @param number the fencing number of the term
	 */
	public final synchronized void beginTerm(long number) {
		if (number == this.fencing) {
			return;
		}
		this.fencing = number;
		this.fencedOff = false;
		this.nextOperationMillis = 0;
		this.ownTokens.clear();
		onTermBegin();
	}

	/** Resets the state that belongs to the previous term. */
	abstract void onTermBegin();

	final FailureDomain domain() {
		return this.domain;
	}

	final long nowMillis() {
		return this.clock.millis();
	}

	final long fencing() {
		return this.fencing;
	}

	final boolean hasTerm() {
		return this.fencing > 0;
	}

	final boolean isFencedOff() {
		return this.fencedOff;
	}

	final boolean isLeaseHeld() {
		return this.leaseHeld.test(this.fencing);
	}

	/**
	 * Tells whether a call may be made now.
	 * @return false outside a term, after a write of a successor was seen, during a retry
	 * delay, and while the lease is not held
	 */
	final boolean mayOperate() {
		return hasTerm() && !this.fencedOff && nowMillis() >= this.nextOperationMillis && isLeaseHeld();
	}

	final void endTerm() {
		this.fencing = 0;
	}

	/**
	 * Compares the fencing number of an object's writer with that of the current term.
	 * @param number the fencing number of the writer
	 * @return true if this or an earlier object was written by a successor, in which case
	 * no further call is made in this term
	 */
	final boolean isWrittenBySuccessor(long number) {
		this.fencedOff = this.fencedOff || number > this.fencing;
		return this.fencedOff;
	}

	final String newToken() {
		String token = this.holder + "/" + this.fencing + "/" + (++this.tokenCount);
		this.ownTokens.add(token);
		return token;
	}

	final boolean isOwnToken(String token) {
		return this.ownTokens.contains(token);
	}

	/**
	 * Discards all tokens but one. Must be called only after the response to a write
	 * arrived, since only then no earlier write of this term can still take effect.
	 * @param token the token of the write that was confirmed
	 */
	final void retainOnlyToken(String token) {
		this.ownTokens.clear();
		this.ownTokens.add(token);
	}

	final void resetRetryDelay() {
		this.backoff.reset();
	}

	/**
	 * Sets the delay before the next call. There is none after a failed condition, since
	 * the caller reads the object again in that case.
	 * @param failure the failure of the last call
	 */
	final void setRetryDelay(StoreFailure failure) {
		boolean conditionFailed = failure instanceof StoreFailure.ConditionFailed;
		this.nextOperationMillis = nowMillis() + (conditionFailed ? 0 : this.backoff.nextDelayMillis());
	}

	final void clearRetryDelay() {
		this.nextOperationMillis = 0;
	}

}
