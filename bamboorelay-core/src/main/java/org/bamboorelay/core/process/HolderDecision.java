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
 * A decision that writes objects of a failure domain while the domain's lease is held.
 * Each write carries a token, by which a holder recognises its own writes after an answer
 * was lost.
 * <p>
 * Thread-safe; guarded by its own lock, which subclasses hold when they use the methods
 * of this class.
 */
public abstract class HolderDecision implements StoreDecision {

	private static final long RETRY_CAP_MILLIS = 5_000;

	private final FailureDomain domain;

	private final String holder;

	private final Clock clock;

	private final LongPredicate leaseHeld;

	private final Backoff backoff;

	private final Set<String> tokens = new HashSet<>();

	private long fencing;

	private boolean fencedOff;

	private long nextAt;

	private long tokenCount;

	/**
	 * Creates the decision.
	 * @param domain the failure domain
	 * @param holder unique for each start of a process
	 * @param clock the monotonic clock of the process
	 * @param leaseHeld tells whether the domain's lease runs under a fencing number
	 * @param retryBaseMillis the first pause after a failed call, in milliseconds
	 * @param random returns numbers from 0 to below 1, for jitter
	 */
	HolderDecision(FailureDomain domain, String holder, Clock clock, LongPredicate leaseHeld, long retryBaseMillis,
			DoubleSupplier random) {
		this.domain = Objects.requireNonNull(domain, "domain");
		this.holder = Objects.requireNonNull(holder, "holder");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.leaseHeld = Objects.requireNonNull(leaseHeld, "leaseHeld");
		this.backoff = Backoff.of(retryBaseMillis, RETRY_CAP_MILLIS, random);
	}

	/**
	 * Starts a term as holder of the domain's lease; does nothing where the term runs.
	 * @param number the fencing number of the term
	 */
	public final synchronized void begin(long number) {
		if (number == this.fencing) {
			return;
		}
		this.fencing = number;
		this.fencedOff = false;
		this.nextAt = 0;
		this.tokens.clear();
		onBegin();
	}

	/** Forgets what a former term left. */
	abstract void onBegin();

	final FailureDomain domain() {
		return this.domain;
	}

	final long now() {
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
	 * @return false without a term, after a successor wrote, during a pause, and without
	 * the lease
	 */
	final boolean mayCall() {
		return hasTerm() && !this.fencedOff && now() >= this.nextAt && isLeaseHeld();
	}

	final void endTerm() {
		this.fencing = 0;
	}

	/**
	 * Compares the writer of an object with the present term.
	 * @param number the fencing number of the writer
	 * @return true where a successor wrote, after which no further call is made
	 */
	final boolean isWrittenBySuccessor(long number) {
		this.fencedOff = this.fencedOff || number > this.fencing;
		return this.fencedOff;
	}

	final String newToken() {
		String token = this.holder + "/" + this.fencing + "/" + (++this.tokenCount);
		this.tokens.add(token);
		return token;
	}

	final boolean isOwn(String token) {
		return this.tokens.contains(token);
	}

	/**
	 * Forgets all tokens but one. Only after the answer to a write it is known that no
	 * earlier write of this term can take effect any more.
	 * @param token the token of the write that was answered
	 */
	final void keepToken(String token) {
		this.tokens.clear();
		this.tokens.add(token);
	}

	final void onSuccess() {
		this.backoff.reset();
	}

	/**
	 * Sets the pause after a failed call: none after a failed condition, which is
	 * answered by reading.
	 * @param failure the failure
	 */
	final void onFailure(StoreFailure failure) {
		boolean lost = failure instanceof StoreFailure.ConditionFailed;
		this.nextAt = now() + (lost ? 0 : this.backoff.failed());
	}

	final void clearPause() {
		this.nextAt = 0;
	}

}
