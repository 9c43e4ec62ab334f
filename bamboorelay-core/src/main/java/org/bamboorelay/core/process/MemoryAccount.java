package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.bamboorelay.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Account of the bytes that a process holds for others. The bytes of callers' requests
 * and responses are reserved here; those of other origins have budgets of their own and
 * are counted, so that unfinished requests make room for accepted work. Bytes are
 * reserved when they arrive. If the account is exhausted, the newest unfinished request
 * of the largest workspace is shed, within it of the largest client address, so that the
 * oldest requests complete and a workspace within its share isn't refused in favour of
 * one that exceeds its own. A request that was received completely is never shed.
 * <p>
 * A part of the account is kept for small requests, so that large unfinished bodies don't
 * lock out ordinary requests of the same workspace.
 * <p>
 * Thread-safe; guarded by its own lock. Tasks of shed reservations run outside of the
 * lock.
 */
public final class MemoryAccount {

	/**
	 * Size up to which a reservation counts as small, in bytes: the head and the body of
	 * an ordinary request.
	 */
	public static final long SMALL_BYTES = 32_768;

	/** Divisor of the part of the account that is kept for small reservations. */
	private static final long SMALL_RESERVE_DIVISOR = 8;

	/** Shortest retry delay, in milliseconds. */
	private static final long MIN_RETRY_MILLIS = 100;

	/** Length of the interval over which released bytes are counted, in milliseconds. */
	private static final long RATE_INTERVAL_MILLIS = 1_000;

	/**
	 * Time without a refusal after which refusing counts as ended, in milliseconds. It is
	 * longer than the usual retry delays of callers.
	 */
	private static final long QUIET_MILLIS = 2_000;

	private final long maxBytes;

	private final long totalBytes;

	private final Clock clock;

	/** The bytes that the budgets of other origins hold. */
	private final Map<MemoryOrigin, LongSupplier> elsewhere = new EnumMap<>(MemoryOrigin.class);

	/** Open reservations in the order in which they were opened. */
	private final Set<Reservation> reservations = new LinkedHashSet<>();

	private final Map<MemoryOrigin, Long> heldByOrigin = new EnumMap<>(MemoryOrigin.class);

	private final Map<MemoryOrigin, Long> refusedByOrigin = new EnumMap<>(MemoryOrigin.class);

	private long heldBytes;

	private long highestBytes;

	private long intervalStartMillis;

	private long intervalReleasedBytes;

	private long previousReleasedBytes;

	private long lastRefusalMillis = Long.MIN_VALUE;

	private MemoryAccount(long maxBytes, long totalBytes, Clock clock) {
		this.maxBytes = maxBytes;
		this.totalBytes = totalBytes;
		this.clock = clock;
	}

	/**
	 * Creates an account of which nothing is reserved.
	 * @param maxBytes the maximum number of bytes that may be reserved
	 * @param totalBytes the number of reserved bytes and of bytes of other origins up to
	 * which bytes are reserved
	 * @param clock the monotonic clock of the process
	 * @return the account
	 */
	public static MemoryAccount of(long maxBytes, long totalBytes, Clock clock) {
		if (maxBytes <= 0 || totalBytes < maxBytes) {
			throw new IllegalArgumentException(
					"maxBytes must be positive and at most totalBytes: " + maxBytes + ", " + totalBytes);
		}
		return new MemoryAccount(maxBytes, totalBytes, Objects.requireNonNull(clock, "clock"));
	}

	/**
	 * Creates an account that permits all reservations.
	 * @return the account
	 */
	public static MemoryAccount unlimited() {
		return new MemoryAccount(Long.MAX_VALUE / 2, Long.MAX_VALUE / 2, () -> 0);
	}

	/**
	 * Opens an empty reservation for a request that is not received completely yet.
	 * @param origin what the bytes are held for
	 * @param address the address of the client
	 * @param onShed discards the bytes of the reservation; called at most once, on the
	 * thread of another reservation, and must not block
	 * @return the reservation
	 */
	public synchronized Reservation open(MemoryOrigin origin, String address, Runnable onShed) {
		Reservation reservation = new Reservation(Objects.requireNonNull(origin, "origin"),
				Objects.requireNonNull(address, "address"), Objects.requireNonNull(onShed, "onShed"));
		this.reservations.add(reservation);
		return reservation;
	}

	/**
	 * Counts the bytes of another origin, which has a budget of its own.
	 * @param origin the origin
	 * @param bytes supplies the number of bytes; must not call this account
	 */
	public synchronized void countElsewhere(MemoryOrigin origin, LongSupplier bytes) {
		this.elsewhere.put(Objects.requireNonNull(origin, "origin"), Objects.requireNonNull(bytes, "bytes"));
	}

	/**
	 * Sheds unfinished requests if the bytes of other origins have grown at their
	 * expense.
	 */
	public void trim() {
		List<Runnable> tasks = new ArrayList<>();
		synchronized (this) {
			long pendingBytes = pendingBytes();
			for (Reservation victim = victim(null, 0); victim != null
					&& this.heldBytes - pendingBytes > available(); victim = victim(null, 0)) {
				pendingBytes += shed(victim, tasks);
			}
		}
		tasks.forEach(Runnable::run);
	}

	/**
	 * Returns the maximum number of bytes that may be reserved.
	 * @return the number of bytes
	 */
	public long maxBytes() {
		return this.maxBytes;
	}

	/**
	 * Returns the number of reserved bytes.
	 * @return the number, at most the maximum
	 */
	public synchronized long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Returns the number of reserved or counted bytes of an origin.
	 * @param origin the origin
	 * @return the number of bytes
	 */
	public synchronized long heldBytes(MemoryOrigin origin) {
		LongSupplier counted = this.elsewhere.get(origin);
		return (counted != null) ? counted.getAsLong() : this.heldByOrigin.getOrDefault(origin, 0L);
	}

	/**
	 * Returns the highest number of bytes that were reserved at the same time.
	 * @return the number of bytes
	 */
	public synchronized long highestBytes() {
		return this.highestBytes;
	}

	/**
	 * Returns how many bytes of an origin were refused or shed.
	 * @param origin the origin
	 * @return the number of bytes since the account was created
	 */
	public synchronized long refusedBytes(MemoryOrigin origin) {
		return this.refusedByOrigin.getOrDefault(origin, 0L);
	}

	/**
	 * Returns whether requests are being refused for lack of memory.
	 * @return whether a reservation was refused or shed in the last two seconds
	 */
	public synchronized boolean isRefusing() {
		return this.lastRefusalMillis != Long.MIN_VALUE && this.clock.millis() - this.lastRefusalMillis < QUIET_MILLIS;
	}

	/**
	 * Returns the time after which a refused request is expected to find room, from the
	 * rate at which requests that were not refused ended in the last one to two seconds.
	 * @param bytes the size of the request, in bytes
	 * @param longestMillis the time after which unfinished requests end in any case, in
	 * milliseconds
	 * @return the retry delay, in milliseconds
	 */
	public synchronized long retryAfterMillis(long bytes, long longestMillis) {
		rollInterval();
		long released = Math.max(this.previousReleasedBytes, this.intervalReleasedBytes);
		long missing = Math.max(0, this.heldBytes + bytes - limit(bytes));
		if (missing > 0 && released == 0) {
			return Math.max(MIN_RETRY_MILLIS, longestMillis);
		}
		double millis = (missing > 0) ? (double) missing * RATE_INTERVAL_MILLIS / released : 0;
		return (long) Math.max(MIN_RETRY_MILLIS, Math.min(millis, longestMillis));
	}

	private long limit(long reservedBytes) {
		long available = available();
		return (reservedBytes <= SMALL_BYTES) ? available
				: Math.min(available, this.maxBytes - this.maxBytes / SMALL_RESERVE_DIVISOR);
	}

	private long available() {
		long elsewhereBytes = 0;
		for (LongSupplier counted : this.elsewhere.values()) {
			elsewhereBytes += counted.getAsLong();
		}
		return Math.max(0, Math.min(this.maxBytes, this.totalBytes - elsewhereBytes));
	}

	// Returns the bytes of shed reservations that their threads have not released yet.
	private long pendingBytes() {
		long pendingBytes = 0;
		for (Reservation reservation : this.reservations) {
			pendingBytes += reservation.shed ? reservation.bytes() : 0;
		}
		return pendingBytes;
	}

	// Sheds a reservation and returns the bytes that it still holds.
	private long shed(Reservation victim, List<Runnable> tasks) {
		refuse(victim, victim.bytes());
		victim.shed = true;
		remove(victim, victim.discardableBytes, true);
		tasks.add(victim.onShed);
		return victim.bytes();
	}

	private boolean reserve(Reservation growing, long bytes, boolean discardable) {
		List<Runnable> tasks = new ArrayList<>();
		boolean granted;
		synchronized (this) {
			granted = decide(growing, bytes, tasks);
			if (granted) {
				add(growing, bytes, discardable);
			}
		}
		tasks.forEach(Runnable::run);
		return granted;
	}

	private boolean decide(Reservation growing, long bytes, List<Runnable> tasks) {
		if (growing.shed || growing.closed) {
			return false;
		}
		long limit = limit(growing.bytes() + bytes);
		long pendingBytes = pendingBytes();
		while (bytes > limit - (this.heldBytes - pendingBytes)) {
			Reservation victim = (bytes <= limit) ? victim(growing, bytes) : growing;
			if (victim == null || victim == growing) {
				refuse(growing, growing.bytes() + bytes);
				return false;
			}
			pendingBytes += shed(victim, tasks);
		}
		if (bytes > limit - this.heldBytes) {
			refuse(growing, growing.bytes() + bytes);
			return false;
		}
		return true;
	}

	// Returns the newest unfinished reservation of the largest consumer, with those
	// bytes that the growing one asks for; null if there is none. Within a consumer,
	// small
	// reservations are spared while it has larger ones.
	private @Nullable Reservation victim(@Nullable Reservation growing, long bytes) {
		List<Reservation> candidates = new ArrayList<>();
		for (Reservation reservation : this.reservations) {
			if (!reservation.finished && !reservation.shed) {
				candidates.add(reservation);
			}
		}
		candidates = ofLargest(candidates, (reservation) -> reservation.workspace, growing, bytes);
		candidates = ofLargest(candidates, (reservation) -> reservation.address, growing, bytes);
		Reservation newest = null;
		Reservation newestLarge = null;
		for (Reservation candidate : candidates) {
			newest = candidate;
			if (candidate.bytes() + ((candidate == growing) ? bytes : 0) > SMALL_BYTES) {
				newestLarge = candidate;
			}
		}
		return (newestLarge != null) ? newestLarge : newest;
	}

	// Keeps the candidates of the consumer that holds most.
	private List<Reservation> ofLargest(List<Reservation> candidates, Function<Reservation, String> consumer,
			@Nullable Reservation growing, long bytes) {
		Map<String, Long> totals = new HashMap<>();
		for (Reservation reservation : this.reservations) {
			totals.merge(consumer.apply(reservation), reservation.bytes() + ((reservation == growing) ? bytes : 0),
					Long::sum);
		}
		long most = -1;
		String largest = "";
		for (Reservation candidate : candidates) {
			long total = totals.get(consumer.apply(candidate));
			if (total > most) {
				most = total;
				largest = consumer.apply(candidate);
			}
		}
		String kept = largest;
		return candidates.stream().filter((candidate) -> consumer.apply(candidate).equals(kept)).toList();
	}

	private void refuse(Reservation reservation, long bytes) {
		reservation.refused = true;
		this.refusedByOrigin.merge(reservation.origin, bytes, Long::sum);
		this.lastRefusalMillis = this.clock.millis();
	}

	private void add(Reservation reservation, long bytes, boolean discardable) {
		if (discardable) {
			reservation.discardableBytes += bytes;
		}
		else {
			reservation.fixedBytes += bytes;
		}
		this.heldBytes += bytes;
		this.highestBytes = Math.max(this.highestBytes, this.heldBytes);
		this.heldByOrigin.merge(reservation.origin, bytes, Long::sum);
	}

	private void remove(Reservation reservation, long bytes, boolean discardable) {
		add(reservation, -bytes, discardable);
	}

	private void rollInterval() {
		long now = this.clock.millis();
		if (now - this.intervalStartMillis >= RATE_INTERVAL_MILLIS) {
			boolean adjacent = now - this.intervalStartMillis < 2 * RATE_INTERVAL_MILLIS;
			this.previousReleasedBytes = adjacent ? this.intervalReleasedBytes : 0;
			this.intervalReleasedBytes = 0;
			this.intervalStartMillis = now;
		}
	}

	/**
	 * The bytes that are held for one request or response.
	 * <p>
	 * Thread-safe; guarded by the lock of the account.
	 */
	public final class Reservation implements AutoCloseable {

		private final MemoryOrigin origin;

		private final String address;

		private final Runnable onShed;

		private String workspace = "";

		private long fixedBytes;

		private long discardableBytes;

		private boolean finished;

		private boolean refused;

		private boolean shed;

		private boolean closed;

		private Reservation(MemoryOrigin origin, String address, Runnable onShed) {
			this.origin = origin;
			this.address = address;
			this.onShed = onShed;
		}

		/**
		 * Names the workspace that the request belongs to.
		 * @param name the name of the workspace, empty if the request needs none
		 */
		public void assign(String name) {
			synchronized (MemoryAccount.this) {
				this.workspace = Objects.requireNonNull(name, "name");
			}
		}

		/**
		 * Reserves bytes that stay in memory until the reservation is closed.
		 * @param bytes the number of bytes
		 * @return whether they were reserved; if not, the request must be refused
		 */
		public boolean reserve(long bytes) {
			return MemoryAccount.this.reserve(this, checkBytes(bytes), false);
		}

		/**
		 * Reserves bytes that the task of a shed reservation discards at once.
		 * @param bytes the number of bytes
		 * @return whether they were reserved; if not, the request must be refused
		 */
		public boolean reserveDiscardable(long bytes) {
			return MemoryAccount.this.reserve(this, checkBytes(bytes), true);
		}

		/**
		 * Releases a part of the discardable bytes.
		 * @param bytes the number of bytes; ignored if the reservation was shed, as
		 * nothing is reserved any more
		 */
		public void release(long bytes) {
			synchronized (MemoryAccount.this) {
				if (this.shed || this.closed) {
					return;
				}
				if (bytes < 0 || bytes > this.discardableBytes) {
					throw new IllegalArgumentException(
							"cannot release " + bytes + " bytes of " + this.discardableBytes + " reserved");
				}
				remove(this, bytes, true);
			}
		}

		/**
		 * Marks the request as received completely, after which it is not shed.
		 * @return false if it was shed before
		 */
		public boolean finish() {
			synchronized (MemoryAccount.this) {
				this.finished = !this.shed;
				return this.finished;
			}
		}

		/**
		 * Returns whether the reservation was shed.
		 * @return whether the request must be refused
		 */
		public boolean isShed() {
			synchronized (MemoryAccount.this) {
				return this.shed;
			}
		}

		/**
		 * Releases all bytes. Further calls have no effect.
		 */
		@Override
		public void close() {
			synchronized (MemoryAccount.this) {
				if (!this.closed) {
					this.closed = true;
					if (!this.refused) {
						// Refused requests come back and need their room again.
						rollInterval();
						MemoryAccount.this.intervalReleasedBytes += bytes();
					}
					remove(this, this.fixedBytes, false);
					remove(this, this.discardableBytes, true);
					MemoryAccount.this.reservations.remove(this);
				}
			}
		}

		private long bytes() {
			return this.fixedBytes + this.discardableBytes;
		}

		private static long checkBytes(long bytes) {
			if (bytes < 0) {
				throw new IllegalArgumentException("bytes must not be negative: " + bytes);
			}
			return bytes;
		}

	}

}
