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
public final class LeaseState implements StoreStateMachine {

	/**
	 * Maximum number of writes with unknown outcome that are kept. A write that was
	 * dropped is mistaken for one of another holder, so the lease is given up, which is
	 * safe.
	 */
	private static final int MAX_PENDING_WRITES = 64;

	private static final long RETRY_BASE_MILLIS = 100;

	private static final long MAX_RETRY_DELAY_MILLIS = 1_000;

	private final String key;

	private final String holder;

	/**
	 * Measures how long other holders have been silent. It must not run ahead of real
	 * time, because a lease would then be taken over while its holder still acts.
	 */
	private final Clock clock;

	/**
	 * Measures how long the own lease is valid. It must not run behind real time, because
	 * the lease would then be used after another process has taken it over.
	 */
	private final Clock expiryClock;

	private final Supplier<Timing> timing;

	private final DoubleSupplier random;

	private final BooleanSupplier contendCondition;

	private final @Nullable String predecessorPrefix;

	private final Backoff backoff;

	private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();

	private @Nullable Body lastRecord;

	private long lastVersion;

	private long unchangedSinceMillis;

	private long lastObservedMillis;

	private boolean readRequired = true;

	private long nextOperationMillis;

	private long fencing;

	private long validUntilMillis;

	private long tokenCount;

	private boolean releasing;

	private boolean onStandby;

	private LeaseState(String key, String holder, Clock clock, Clock expiryClock, Supplier<Timing> timing,
			DoubleSupplier random, BooleanSupplier contendCondition, @Nullable String predecessorPrefix) {
		this.predecessorPrefix = predecessorPrefix;
		this.contendCondition = Objects.requireNonNull(contendCondition, "contendCondition");
		this.key = Objects.requireNonNull(key, "key");
		this.holder = Objects.requireNonNull(holder, "holder");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.expiryClock = Objects.requireNonNull(expiryClock, "expiryClock");
		this.timing = Objects.requireNonNull(timing, "timing");
		this.random = random;
		this.backoff = Backoff.of(RETRY_BASE_MILLIS, MAX_RETRY_DELAY_MILLIS, random);
	}

	/**
	 * Creates a contender for a lease.
	 * @param key the key of the lease
	 * @param holder the name of this process, unique for each start of it
	 * @param clock the monotonic clock of the process, which never runs ahead of real
	 * time; also measures the validity of the own lease, unless {@link #withExpiryClock}
	 * names another clock
	 * @param timing returns the timing in force, which depends on the inventory
	 * @param random returns numbers from 0 (inclusive) to 1 (exclusive), for jitter
	 * @return the contender
	 */
	public static LeaseState of(String key, String holder, Clock clock, Supplier<Timing> timing,
			DoubleSupplier random) {
		return new LeaseState(key, holder, clock, clock, timing, random, () -> true, null);
	}

	/**
	 * Returns a contender that contends for the lease only while a condition is true.
	 * While it is false, the process is on standby: it reads the lease rarely, and takes
	 * it over only if it stays unchanged, free or absent for
	 * {@link Timing#standbyDelayMillis()}. A condition that is wrongly false at all
	 * processes therefore does not leave the lease without a holder.
	 * @param condition whether to contend; a holder keeps the lease regardless of it;
	 * must not block
	 * @return the new contender, which shares no state with this one
	 */
	public LeaseState contendingWhen(BooleanSupplier condition) {
		return new LeaseState(this.key, this.holder, this.clock, this.expiryClock, this.timing, this.random, condition,
				this.predecessorPrefix);
	}

	/**
	 * Returns a contender that measures the validity of its own lease with another clock.
	 * @param newExpiryClock a clock that includes the time during which the machine was
	 * suspended, and that may run ahead of real time
	 * @return the new contender, which shares no state with this one
	 */
	public LeaseState withExpiryClock(Clock newExpiryClock) {
		return new LeaseState(this.key, this.holder, this.clock, newExpiryClock, this.timing, this.random,
				this.contendCondition, this.predecessorPrefix);
	}

	/**
	 * Returns a contender that takes over the lease at once if its holder is an earlier
	 * start of the same process, which has ended.
	 * @param holderPrefix the prefix of the holder names of all starts of the process
	 * @return the new contender, which shares no state with this one
	 */
	public LeaseState withPredecessorPrefix(String holderPrefix) {
		return new LeaseState(this.key, this.holder, this.clock, this.expiryClock, this.timing, this.random,
				this.contendCondition, holderPrefix);
	}

	/**
	 * Tells whether this process holds the lease now.
	 * @return true while the lease is valid by this process's clock and is not being
	 * released
	 */
	public synchronized boolean isHeld() {
		return this.fencing > 0 && !this.releasing && this.expiryClock.millis() < this.validUntilMillis;
	}

	/**
	 * Tells whether this process holds the lease under a given fencing number.
	 * @param expectedFencing the fencing number under which a duty was started
	 * @return true while the lease is held under this number
	 */
	public synchronized boolean isHeld(long expectedFencing) {
		return isHeld() && this.fencing == expectedFencing;
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
	public synchronized boolean isLastKnownHolder() {
		return isLastRecordOwn();
	}

	/**
	 * Returns the version of the lease that this process wrote last.
	 * @return the version; 0 if this process does not hold the lease
	 */
	public synchronized long heldVersion() {
		return isHeld() ? this.lastVersion : 0;
	}

	/**
	 * Processes the version of the lease that its holder announced. A contender thereby
	 * knows since when the lease is unchanged without reading it.
	 * @param version the version that the holder wrote last
	 */
	public synchronized void onVersionAnnounced(long version) {
		if (version > this.lastVersion && !isLastRecordOwn()) {
			this.lastVersion = version;
			this.unchangedSinceMillis = this.clock.millis();
			this.readRequired = true;
		}
	}

	/**
	 * Releases the lease by the next operation. The caller must have finished its orders.
	 */
	public synchronized void release() {
		this.releasing = true;
		this.nextOperationMillis = 0;
	}

	/**
	 * Tells whether a requested release is complete.
	 * @return true after {@link #release()} once the release took effect or if the lease
	 * was not held
	 */
	public synchronized boolean isReleased() {
		return this.releasing && this.pendingWrites.isEmpty() && !isLastRecordOwn();
	}

	@Override
	public synchronized @Nullable StoreOperation next() {
		long nowMillis = this.clock.millis();
		boolean contender = isHeldByPredecessor() || this.contendCondition.getAsBoolean();
		if (this.onStandby && contender) {
			this.onStandby = false;
			this.readRequired = true;
			this.nextOperationMillis = nowMillis;
		}
		if (nowMillis < this.nextOperationMillis || isReleased()) {
			return null;
		}
		if (this.readRequired) {
			return new StoreOperation.Read(this.key);
		}
		Body current = this.lastRecord;
		if (isLastRecordOwn()) {
			return write(Objects.requireNonNull(current).fencing(), this.releasing, nowMillis);
		}
		if (this.releasing) {
			return null;
		}
		// A process on standby may have read the lease up to a minute ago. It reads again
		// before it takes the lease over.
		if (!contender && (nowMillis - this.unchangedSinceMillis < this.timing.get().standbyDelayMillis()
				|| nowMillis - this.lastObservedMillis > this.timing.get().pollIntervalMillis())) {
			return new StoreOperation.Read(this.key);
		}
		if (current == null) {
			return write(1, false, nowMillis);
		}
		if (current.released() || isHeldByPredecessor()
				|| nowMillis - this.unchangedSinceMillis >= this.timing.get().takeoverDelayMillis()) {
			return write(current.fencing() + 1, false, nowMillis);
		}
		return new StoreOperation.Read(this.key);
	}

	@Override
	public synchronized void onResult(StoreOperation operation, Either<StoreFailure, Option<StoredObject>> result) {
		long nowMillis = this.clock.millis();
		this.onStandby = false;
		if (result.isLeft()) {
			this.readRequired = true;
			boolean conditionFailed = result.getLeft() instanceof StoreFailure.ConditionFailed;
			this.nextOperationMillis = conditionFailed ? nowMillis : nowMillis + this.backoff.nextDelayMillis();
			return;
		}
		this.backoff.reset();
		this.readRequired = false;
		Option<StoredObject> object = result.get();
		if (object.isEmpty()) {
			observe(null, 0, nowMillis);
			return;
		}
		Body body = CoreJson.read(object.get().body(), Body.class).getOrElse(() -> new Body("", "", 0, false));
		observe(body, object.get().version(), nowMillis);
	}

	private void observe(@Nullable Body body, long version, long nowMillis) {
		this.lastObservedMillis = nowMillis;
		if (version != this.lastVersion || this.unchangedSinceMillis == 0) {
			this.unchangedSinceMillis = nowMillis;
		}
		PendingWrite ownWrite = null;
		if (body != null) {
			ownWrite = this.pendingWrites.stream()
				.filter((attempt) -> attempt.token().equals(body.token()))
				.findFirst()
				.orElse(null);
		}
		boolean changed = version != this.lastVersion;
		this.lastRecord = body;
		this.lastVersion = version;
		this.nextOperationMillis = nowMillis;
		if (ownWrite != null && body != null) {
			this.pendingWrites.clear();
			this.fencing = body.released() ? 0 : body.fencing();
			this.validUntilMillis = ownWrite.expiryStartMillis() + this.timing.get().durationMillis();
			this.nextOperationMillis = this.releasing ? nowMillis
					: ownWrite.sentAtMillis() + this.timing.get().renewIntervalMillis();
		}
		else if (changed) {
			this.pendingWrites.clear();
			this.fencing = 0;
			this.validUntilMillis = 0;
		}
		if (isLastRecordOwn() || this.releasing) {
			return;
		}
		if (isHeldByPredecessor()) {
			return;
		}
		if (!this.contendCondition.getAsBoolean()) {
			this.onStandby = true;
			scheduleRead(this.unchangedSinceMillis + this.timing.get().standbyDelayMillis(),
					Timing.STANDBY_POLL_INTERVAL_MILLIS, nowMillis);
		}
		else if (this.lastRecord != null && !this.lastRecord.released()) {
			scheduleRead(this.unchangedSinceMillis + this.timing.get().takeoverDelayMillis(),
					this.timing.get().pollIntervalMillis(), nowMillis);
		}
	}

	private void scheduleRead(long dueMillis, long meanIntervalMillis, long nowMillis) {
		long waitMillis = meanIntervalMillis / 2 + (long) (this.random.getAsDouble() * meanIntervalMillis);
		this.nextOperationMillis = (dueMillis <= nowMillis) ? nowMillis : Math.min(dueMillis, nowMillis + waitMillis);
	}

	private boolean isHeldByPredecessor() {
		return this.predecessorPrefix != null && this.lastRecord != null
				&& this.lastRecord.holder().startsWith(this.predecessorPrefix)
				&& !this.lastRecord.holder().equals(this.holder);
	}

	private boolean isLastRecordOwn() {
		return this.lastRecord != null && !this.lastRecord.released() && this.lastRecord.holder().equals(this.holder)
				&& this.fencing > 0;
	}

	private StoreOperation write(long fencingNumber, boolean released, long nowMillis) {
		String token = this.holder + "/" + (++this.tokenCount);
		if (this.pendingWrites.size() == MAX_PENDING_WRITES) {
			this.pendingWrites.removeFirst();
		}
		this.pendingWrites.addLast(new PendingWrite(token, nowMillis, this.expiryClock.millis()));
		return new StoreOperation.Write(this.key, CoreJson.bytes(new Body(this.holder, token, fencingNumber, released)),
				this.lastVersion);
	}

	/**
	 * Durations and intervals of a lease, in milliseconds.
	 *
	 * @param durationMillis how long the lease is valid after a renewal
	 * @param renewIntervalMillis the interval between renewals
	 * @param takeoverDelayMillis how long the lease must stay unchanged before a
	 * contender takes it over
	 * @param pollIntervalMillis the mean interval at which a contender reads the lease
	 */
	public record Timing(long durationMillis, long renewIntervalMillis, long takeoverDelayMillis,
			long pollIntervalMillis) {

		/** Maximum time from the last check of the lease to the end of an order. */
		public static final long MAX_ORDER_MILLIS = 2_000;

		private static final long DURATION_MILLIS = 6_000;

		private static final long RENEW_INTERVAL_MILLIS = 2_000;

		private static final long POLL_INTERVAL_MILLIS = 1_000;

		/** Mean interval at which a process on standby reads the lease. */
		private static final long STANDBY_POLL_INTERVAL_MILLIS = 60_000;

		/** Number of takeover delays after which a process on standby contends too. */
		private static final int STANDBY_DELAY_FACTOR = 5;

		/** Additional delay if a receiver of orders does not check fencing numbers. */
		private static final long UNFENCED_DELAY_MILLIS = 4_000;

		/**
		 * Returns how long the lease must stay unchanged before a process on standby
		 * takes it over.
		 * @return the delay, in milliseconds
		 */
		public long standbyDelayMillis() {
			return STANDBY_DELAY_FACTOR * this.takeoverDelayMillis;
		}

		/**
		 * Returns the default timing.
		 * @param fenced whether each receiver of orders rejects outdated fencing numbers
		 * @return the timing
		 */
		public static Timing standard(boolean fenced) {
			long takeoverDelay = DURATION_MILLIS + DURATION_MILLIS / 10 + MAX_ORDER_MILLIS
					+ (fenced ? 0 : UNFENCED_DELAY_MILLIS);
			return new Timing(DURATION_MILLIS, RENEW_INTERVAL_MILLIS, takeoverDelay, POLL_INTERVAL_MILLIS);
		}

	}

	private record PendingWrite(String token, long sentAtMillis, long expiryStartMillis) {
	}

	private record Body(String holder, String token, long fencing, boolean released) {
	}

}
