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
 * One process's view of a lease; see section 5 of the design page. The holder counts from
 * before a renewal was sent, a contender from after it saw the version, so that the
 * holder's time always ends first.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class LeaseState implements StoreDecision {

	/**
	 * The most unresolved writes that are remembered. A forgotten one reads as another
	 * holder's, which gives the lease up and is safe.
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
	 * @param holder unique for each start of a process
	 * @param clock the monotonic clock of the process
	 * @param terms returns the times in force, which depend on the inventory
	 * @param random returns numbers from 0 to below 1, for jitter
	 * @return the contender
	 */
	public static LeaseState of(String key, String holder, Clock clock, Supplier<Terms> terms, DoubleSupplier random) {
		return new LeaseState(key, holder, clock, terms, random, () -> true, null);
	}

	/**
	 * Returns a process that contends for the lease under a condition only. While it does
	 * not hold, the process reads the lease seldom, and takes it over only where it stays
	 * unchanged, free or absent for {@link Terms#standbyMillis()}, so that a wrong
	 * condition at all processes leaves no lease without a holder.
	 * @param condition whether to contend; a holder keeps the lease without it; must not
	 * block
	 * @return the contender, which shares no state with this one
	 */
	public LeaseState where(BooleanSupplier condition) {
		return new LeaseState(this.key, this.holder, this.clock, this.terms, this.random, condition, this.predecessors);
	}

	/**
	 * Returns a process that takes the lease over at once where its holder is an earlier
	 * start of the same process, which has ended.
	 * @param holderPrefix the prefix of the names of all starts of the process
	 * @return the contender, which shares no state with this one
	 */
	public LeaseState succeeding(String holderPrefix) {
		return new LeaseState(this.key, this.holder, this.clock, this.terms, this.random, this.contends, holderPrefix);
	}

	/**
	 * Tells whether this process is in charge now.
	 * @return true while the lease runs by the own clock
	 */
	public synchronized boolean isHeld() {
		return this.fencing > 0 && !this.releasing && this.clock.millis() < this.validUntil;
	}

	/**
	 * Tells whether this process is in charge under a fencing number.
	 * @param expected the fencing number that a duty was begun with
	 * @return true while the lease runs under this number
	 */
	public synchronized boolean isHeld(long expected) {
		return isHeld() && this.fencing == expected;
	}

	/**
	 * Returns the fencing number.
	 * @return the number; 0 where this process is not in charge
	 */
	public synchronized long fencing() {
		return isHeld() ? this.fencing : 0;
	}

	/**
	 * Tells whether this process was the last one in charge as far as it knows. Unlike
	 * {@link #isHeld()} this stays true while the store is down and the lease has ended,
	 * so it is for reading only.
	 * @return false once another holder was seen
	 */
	public synchronized boolean isLastHolder() {
		return isOwn();
	}

	/**
	 * Returns the version of the lease that this process wrote last.
	 * @return the version; 0 where this process is not in charge
	 */
	public synchronized long heldVersion() {
		return isHeld() ? this.seenVersion : 0;
	}

	/**
	 * Takes the version that the holder says it wrote, so that a contender knows without
	 * reading since when the lease is unchanged.
	 * @param version the version
	 */
	public synchronized void heard(long version) {
		if (version > this.seenVersion && !isOwn()) {
			this.seenVersion = version;
			this.seenSince = this.clock.millis();
			this.mustRead = true;
		}
	}

	/**
	 * Gives the lease back at the next step. The caller has finished its orders.
	 */
	public synchronized void release() {
		this.releasing = true;
		this.nextAt = 0;
	}

	/**
	 * Tells whether nothing is left to give back.
	 * @return true after the release took effect or where there was no lease
	 */
	public synchronized boolean isReleased() {
		return this.releasing && this.attempts.isEmpty() && !isOwn();
	}

	@Override
	public synchronized @Nullable StoreStep next() {
		long now = this.clock.millis();
		boolean contender = isSuccessor() || this.contends.getAsBoolean();
		if (this.standingBy && contender) {
			this.standingBy = false;
			this.mustRead = true;
			this.nextAt = now;
		}
		if (now < this.nextAt || isReleased()) {
			return null;
		}
		if (this.mustRead) {
			return new StoreStep.Read(this.key);
		}
		Body present = this.seen;
		if (isOwn()) {
			return write(Objects.requireNonNull(present).fencing(), this.releasing, now);
		}
		if (this.releasing) {
			return null;
		}
		// The last reading of a process that stands by may be a minute old.
		if (!contender && (now - this.seenSince < this.terms.get().standbyMillis()
				|| now - this.observedAt > this.terms.get().pollMillis())) {
			return new StoreStep.Read(this.key);
		}
		if (present == null) {
			return write(1, false, now);
		}
		if (present.released() || isSuccessor() || now - this.seenSince >= this.terms.get().takeoverMillis()) {
			return write(present.fencing() + 1, false, now);
		}
		return new StoreStep.Read(this.key);
	}

	@Override
	public synchronized void onResult(StoreStep step, Either<StoreFailure, Option<StoredObject>> result) {
		long now = this.clock.millis();
		this.standingBy = false;
		if (result.isLeft()) {
			this.mustRead = true;
			boolean lost = result.getLeft() instanceof StoreFailure.ConditionFailed;
			this.nextAt = lost ? now : now + this.backoff.failed();
			return;
		}
		this.backoff.reset();
		this.mustRead = false;
		Option<StoredObject> object = result.get();
		if (object.isEmpty()) {
			observe(null, 0, now);
			return;
		}
		Body body = CoreJson.read(object.get().body(), Body.class).getOrElse(() -> new Body("", "", 0, false));
		observe(body, object.get().version(), now);
	}

	private void observe(@Nullable Body body, long version, long now) {
		this.observedAt = now;
		if (version != this.seenVersion || this.seenSince == 0) {
			this.seenSince = now;
		}
		Attempt own = null;
		if (body != null) {
			own = this.attempts.stream()
				.filter((attempt) -> attempt.token().equals(body.token()))
				.findFirst()
				.orElse(null);
		}
		boolean changed = version != this.seenVersion;
		this.seen = body;
		this.seenVersion = version;
		this.nextAt = now;
		if (own != null && body != null) {
			this.attempts.clear();
			this.fencing = body.released() ? 0 : body.fencing();
			this.validUntil = own.sentAt() + this.terms.get().lengthMillis();
			this.nextAt = this.releasing ? now : own.sentAt() + this.terms.get().renewMillis();
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
			waitUntil(this.seenSince + this.terms.get().standbyMillis(), Terms.STANDBY_POLL_MILLIS, now);
		}
		else if (this.seen != null && !this.seen.released()) {
			waitUntil(this.seenSince + this.terms.get().takeoverMillis(), this.terms.get().pollMillis(), now);
		}
	}

	private void waitUntil(long due, long poll, long now) {
		long wait = poll / 2 + (long) (this.random.getAsDouble() * poll);
		this.nextAt = (due <= now) ? now : Math.min(due, now + wait);
	}

	private boolean isSuccessor() {
		return this.predecessors != null && this.seen != null && this.seen.holder().startsWith(this.predecessors)
				&& !this.seen.holder().equals(this.holder);
	}

	private boolean isOwn() {
		return this.seen != null && !this.seen.released() && this.seen.holder().equals(this.holder) && this.fencing > 0;
	}

	private StoreStep write(long number, boolean released, long now) {
		String token = this.holder + "/" + (++this.tokenCount);
		if (this.attempts.size() == MAX_ATTEMPTS) {
			this.attempts.removeFirst();
		}
		this.attempts.addLast(new Attempt(token, now));
		return new StoreStep.Write(this.key, CoreJson.bytes(new Body(this.holder, token, number, released)),
				this.seenVersion);
	}

	/**
	 * Times of a lease, in milliseconds.
	 *
	 * @param lengthMillis how long a renewal lasts
	 * @param renewMillis the interval of renewals
	 * @param takeoverMillis how long a version stays unchanged before a contender takes
	 * over
	 * @param pollMillis the interval at which a contender reads
	 */
	public record Terms(long lengthMillis, long renewMillis, long takeoverMillis, long pollMillis) {

		/** The longest time from the last lease check to the end of an order. */
		public static final long ORDER_MILLIS = 2_000;

		private static final long LENGTH_MILLIS = 6_000;

		private static final long RENEW_MILLIS = 2_000;

		private static final long POLL_MILLIS = 1_000;

		/** Mean interval at which a process that does not contend reads. */
		private static final long STANDBY_POLL_MILLIS = 60_000;

		/** Takeover times after which a process contends whatever its rank. */
		private static final int STANDBY_TAKEOVERS = 5;

		/** Further wait where a receiver of orders does not compare fencing numbers. */
		private static final long UNFENCED_MILLIS = 4_000;

		/**
		 * Returns how long a lease stays unchanged before any process contends.
		 * @return the time in milliseconds
		 */
		public long standbyMillis() {
			return STANDBY_TAKEOVERS * this.takeoverMillis;
		}

		/**
		 * Returns the times of the design page.
		 * @param fenced whether each receiver of orders refuses old fencing numbers
		 * @return the times
		 */
		public static Terms standard(boolean fenced) {
			long takeover = LENGTH_MILLIS + LENGTH_MILLIS / 10 + ORDER_MILLIS + (fenced ? 0 : UNFENCED_MILLIS);
			return new Terms(LENGTH_MILLIS, RENEW_MILLIS, takeover, POLL_MILLIS);
		}

	}

	private record Attempt(String token, long sentAt) {
	}

	private record Body(String holder, String token, long fencing, boolean released) {
	}

}
