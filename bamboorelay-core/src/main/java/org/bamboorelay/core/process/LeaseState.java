package org.bamboorelay.core.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.CoreJson;
import org.jspecify.annotations.Nullable;

/**
 * The state of a lease as seen by one process, which acquires, renews and releases the
 * lease; section 5 of the design page describes the protocol. The holder counts the
 * lease's duration from before it sent the renewal, and a contender counts the takeover
 * delay from after it read the version, so the lease always ends at the holder first.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class LeaseState implements StoreDecision {

	/**
	 * Maximum number of writes with unknown outcome that are kept. A write that was
	 * dropped is mistaken for one of another holder, so the lease is given up, which is
	 * safe.
	 */
	private static final int MAX_ATTEMPTS = 64;

	private static final long RETRY_BASE_MILLIS = 100;

	private static final long RETRY_CAP_MILLIS = 1_000;

	private final String key;

	private final String holder;

	private final Clock clock;

	private final Supplier<Terms> terms;

	private final DoubleSupplier random;

	private final BooleanSupplier contends;

	private final @Nullable String predecessors;

	private final Backoff backoff;

	private final Deque<Attempt> attempts = new ArrayDeque<>();

	private @Nullable Body seen;

	private long seenVersion;

	private long seenSince;

	private long observedAt;

	private boolean mustRead = true;

	private long nextAt;

	private long fencing;

	private long validUntil;

	private long tokenCount;

	private boolean releasing;

	private boolean standingBy;

	private LeaseState(String key, String holder, Clock clock, Supplier<Terms> terms, DoubleSupplier random,
			BooleanSupplier contends, @Nullable String predecessors) {
		this.predecessors = predecessors;
		this.contends = Objects.requireNonNull(contends, "contends");
		this.key = Objects.requireNonNull(key, "key");
		this.holder = Objects.requireNonNull(holder, "holder");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.terms = Objects.requireNonNull(terms, "terms");
		this.random = random;
		this.backoff = Backoff.of(RETRY_BASE_MILLIS, RETRY_CAP_MILLIS, random);
	}

	/**
	 * Creates a contender for a lease.
	 * @param key the key of the lease
	 * @param holder the name of this process, unique for each start of it
	 * @param clock the monotonic clock of the process
	 * @param terms returns the timing in force, which depends on the inventory
	 * @param random returns numbers from 0 (inclusive) to 1 (exclusive), for jitter
	 * @return the contender
	 */
	public static LeaseState of(String key, String holder, Clock clock, Supplier<Terms> terms, DoubleSupplier random) {
		return new LeaseState(key, holder, clock, terms, random, () -> true, null);
	}

	/**
	 * Returns a contender that contends for the lease only while a condition is true.
	 * While it is false, the process is on standby: it reads the lease rarely, and takes
	 * it over only if it stays unchanged, free or absent for
	 * {@link Terms#standbyMillis()}. A condition that is wrongly false at all processes
	 * therefore does not leave the lease without a holder.
	 * @param condition whether to contend; a holder keeps the lease regardless of it;
	 * must not block
	 * @return the new contender, which shares no state with this one
	 */
	public LeaseState where(BooleanSupplier condition) {
		return new LeaseState(this.key, this.holder, this.clock, this.terms, this.random, condition, this.predecessors);
	}

	/**
	 * Returns a contender that takes over the lease at once if its holder is an earlier
	 * start of the same process, which has ended.
	 * @param holderPrefix the prefix of the holder names of all starts of the process
	 * @return the new contender, which shares no state with this one
	 */
	public LeaseState succeeding(String holderPrefix) {
		return new LeaseState(this.key, this.holder, this.clock, this.terms, this.random, this.contends, holderPrefix);
	}

	/**
	 * Tells whether this process holds the lease now.
	 * @return true while the lease is valid by this process's clock and is not being
	 * released
	 */
	public synchronized boolean isHeld() {
		return this.fencing > 0 && !this.releasing && this.clock.millis() < this.validUntil;
	}

	/**
	 * Tells whether this process holds the lease under a given fencing number.
	 * @param expected the fencing number under which a duty was started
	 * @return true while the lease is held under this number
	 */
	public synchronized boolean isHeld(long expected) {
		return isHeld() && this.fencing == expected;
	}

	/**
	 * Returns the fencing number.
	 * @return the number; 0 if this process does not hold the lease
	 */
	public synchronized long fencing() {
		return isHeld() ? this.fencing : 0;
	}

	/**
	 * Tells whether this process is the last holder that it knows of. Unlike
	 * {@link #isHeld()} this stays true after the lease has expired while the store is
	 * unavailable, so it permits only reads, not writes or orders.
	 * @return false once another holder was seen
	 */
	public synchronized boolean isLastHolder() {
		return isOwn();
	}

	/**
	 * Returns the version of the lease that this process wrote last.
	 * @return the version; 0 if this process does not hold the lease
	 */
	public synchronized long heldVersion() {
		return isHeld() ? this.seenVersion : 0;
	}

	/**
	 * Processes the version of the lease that its holder announced. A contender thereby
	 * knows since when the lease is unchanged without reading it.
	 * @param version the version that the holder wrote last
	 */
	public synchronized void heard(long version) {
		if (version > this.seenVersion && !isOwn()) {
			this.seenVersion = version;
			this.seenSince = this.clock.millis();
			this.mustRead = true;
		}
	}

	/**
	 * Releases the lease by the next operation. The caller must have finished its orders.
	 */
	public synchronized void release() {
		this.releasing = true;
		this.nextAt = 0;
	}

	/**
	 * Tells whether a requested release is complete.
	 * @return true after {@link #release()} once the release took effect or if the lease
	 * was not held
	 */
	public synchronized boolean isReleased() {
		return this.releasing && this.attempts.isEmpty() && !isOwn();
	}

	@Override
	public synchronized @Nullable StoreStep next() {
		long nowMillis = this.clock.millis();
		boolean contender = isSuccessor() || this.contends.getAsBoolean();
		if (this.standingBy && contender) {
			this.standingBy = false;
			this.mustRead = true;
			this.nextAt = nowMillis;
		}
		if (nowMillis < this.nextAt || isReleased()) {
			return null;
		}
		if (this.mustRead) {
			return new StoreStep.Read(this.key);
		}
		Body current = this.seen;
		if (isOwn()) {
			return write(Objects.requireNonNull(current).fencing(), this.releasing, nowMillis);
		}
		if (this.releasing) {
			return null;
		}
		// A process on standby may have read the lease up to a minute ago. It reads again
		// before it takes the lease over.
		if (!contender && (nowMillis - this.seenSince < this.terms.get().standbyMillis()
				|| nowMillis - this.observedAt > this.terms.get().pollMillis())) {
			return new StoreStep.Read(this.key);
		}
		if (current == null) {
			return write(1, false, nowMillis);
		}
		if (current.released() || isSuccessor() || nowMillis - this.seenSince >= this.terms.get().takeoverMillis()) {
			return write(current.fencing() + 1, false, nowMillis);
		}
		return new StoreStep.Read(this.key);
	}

	@Override
	public synchronized void onResult(StoreStep step, Either<StoreFailure, Option<StoredObject>> result) {
		long nowMillis = this.clock.millis();
		this.standingBy = false;
		if (result.isLeft()) {
			this.mustRead = true;
			boolean conditionFailed = result.getLeft() instanceof StoreFailure.ConditionFailed;
			this.nextAt = conditionFailed ? nowMillis : nowMillis + this.backoff.failed();
			return;
		}
		this.backoff.reset();
		this.mustRead = false;
		Option<StoredObject> object = result.get();
		if (object.isEmpty()) {
			observe(null, 0, nowMillis);
			return;
		}
		Body body = CoreJson.read(object.get().body(), Body.class).getOrElse(() -> new Body("", "", 0, false));
		observe(body, object.get().version(), nowMillis);
	}

	private void observe(@Nullable Body body, long version, long nowMillis) {
		this.observedAt = nowMillis;
		if (version != this.seenVersion || this.seenSince == 0) {
			this.seenSince = nowMillis;
		}
		Attempt ownWrite = null;
		if (body != null) {
			ownWrite = this.attempts.stream()
				.filter((attempt) -> attempt.token().equals(body.token()))
				.findFirst()
				.orElse(null);
		}
		boolean changed = version != this.seenVersion;
		this.seen = body;
		this.seenVersion = version;
		this.nextAt = nowMillis;
		if (ownWrite != null && body != null) {
			this.attempts.clear();
			this.fencing = body.released() ? 0 : body.fencing();
			this.validUntil = ownWrite.sentAt() + this.terms.get().lengthMillis();
			this.nextAt = this.releasing ? nowMillis : ownWrite.sentAt() + this.terms.get().renewMillis();
		}
		else if (changed) {
			this.attempts.clear();
			this.fencing = 0;
			this.validUntil = 0;
		}
		if (isOwn() || this.releasing) {
			return;
		}
		if (isSuccessor()) {
			return;
		}
		if (!this.contends.getAsBoolean()) {
			this.standingBy = true;
			waitUntil(this.seenSince + this.terms.get().standbyMillis(), Terms.STANDBY_POLL_MILLIS, nowMillis);
		}
		else if (this.seen != null && !this.seen.released()) {
			waitUntil(this.seenSince + this.terms.get().takeoverMillis(), this.terms.get().pollMillis(), nowMillis);
		}
	}

	private void waitUntil(long dueMillis, long meanIntervalMillis, long nowMillis) {
		long waitMillis = meanIntervalMillis / 2 + (long) (this.random.getAsDouble() * meanIntervalMillis);
		this.nextAt = (dueMillis <= nowMillis) ? nowMillis : Math.min(dueMillis, nowMillis + waitMillis);
	}

	private boolean isSuccessor() {
		return this.predecessors != null && this.seen != null && this.seen.holder().startsWith(this.predecessors)
				&& !this.seen.holder().equals(this.holder);
	}

	private boolean isOwn() {
		return this.seen != null && !this.seen.released() && this.seen.holder().equals(this.holder) && this.fencing > 0;
	}

	private StoreStep write(long fencingNumber, boolean released, long nowMillis) {
		String token = this.holder + "/" + (++this.tokenCount);
		if (this.attempts.size() == MAX_ATTEMPTS) {
			this.attempts.removeFirst();
		}
		this.attempts.addLast(new Attempt(token, nowMillis));
		return new StoreStep.Write(this.key, CoreJson.bytes(new Body(this.holder, token, fencingNumber, released)),
				this.seenVersion);
	}

	/**
	 * Durations and intervals of a lease, in milliseconds.
	 *
	 * @param lengthMillis how long the lease is valid after a renewal
	 * @param renewMillis the interval between renewals
	 * @param takeoverMillis how long the lease must stay unchanged before a contender
	 * takes it over
	 * @param pollMillis the mean interval at which a contender reads the lease
	 */
	public record Terms(long lengthMillis, long renewMillis, long takeoverMillis, long pollMillis) {

		/** Maximum time from the last check of the lease to the end of an order. */
		public static final long ORDER_MILLIS = 2_000;

		private static final long LENGTH_MILLIS = 6_000;

		private static final long RENEW_MILLIS = 2_000;

		private static final long POLL_MILLIS = 1_000;

		/** Mean interval at which a process on standby reads the lease. */
		private static final long STANDBY_POLL_MILLIS = 60_000;

		/** Number of takeover delays after which a process on standby contends too. */
		private static final int STANDBY_TAKEOVERS = 5;

		/** Additional delay if a receiver of orders does not check fencing numbers. */
		private static final long UNFENCED_MILLIS = 4_000;

		/**
		 * Returns how long the lease must stay unchanged before a process on standby
		 * takes it over.
		 * @return the delay, in milliseconds
		 */
		public long standbyMillis() {
			return STANDBY_TAKEOVERS * this.takeoverMillis;
		}

		/**
		 * Returns the default timing.
		 * @param fenced whether each receiver of orders rejects outdated fencing numbers
		 * @return the timing
		 */
		public static Terms standard(boolean fenced) {
			long takeoverDelay = LENGTH_MILLIS + LENGTH_MILLIS / 10 + ORDER_MILLIS + (fenced ? 0 : UNFENCED_MILLIS);
			return new Terms(LENGTH_MILLIS, RENEW_MILLIS, takeoverDelay, POLL_MILLIS);
		}

	}

	private record Attempt(String token, long sentAt) {
	}

	private record Body(String holder, String token, long fencing, boolean released) {
	}

}
