package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import java.util.function.LongPredicate;
import java.util.function.Predicate;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage.UsageCount;
import org.bamboorelay.core.process.UsageFigures.Correction;
import org.bamboorelay.core.process.UsageFigures.Gap;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.FailureDomain;
import org.jspecify.annotations.Nullable;

/**
 * Finalizes the usage windows of a deployment and provides them for sending, one after
 * another. A window is finalized by conditional creation of
 * {@code usage/windows/<window>}. Only a record that was read from or written to the
 * store is sent, so that all senders report the same counts of a window.
 * {@code usage/reported} points to the last window that was sent, after which a successor
 * continues.
 * <p>
 * The parts of each domain are processed in order from its first part, so that none is
 * omitted if it is late or if its window has a different length. A part of an earlier
 * window becomes a correction.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class UsageWindows implements StoreStateMachine {

	/** Key of the pointer to the last window that was sent. */
	public static final String REPORTED_KEY = "usage/reported";

	private static final String WINDOW_KEY_PREFIX = "usage/windows/";

	/**
	 * Maximum number of parts of a domain in one window, which bounds the size of a
	 * record.
	 */
	private static final int MAX_PARTS_PER_DOMAIN = 64;

	/**
	 * How long to wait for the part of a domain beyond twice the grace period, in
	 * milliseconds. This is longer than a takeover of the domain's lease. The wait starts
	 * again after an outage of the store, so that the domains can write the parts that
	 * they kept in memory.
	 */
	private static final long PART_WAIT_MILLIS = 15_000;

	private static final long POLL_INTERVAL_MILLIS = 1_000;

	private static final long RETRY_BASE_MILLIS = 200;

	private static final long MAX_RETRY_DELAY_MILLIS = 5_000;

	private final String holder;

	private final Clock clock;

	private final LongPredicate leaseHeld;

	private final Backoff backoff;

	private final Map<FailureDomain, List<UsageParts.Part>> collectedParts = new LinkedHashMap<>();

	/** Domains whose next part was requested and is not available yet. */
	private final Set<FailureDomain> domainsWithoutNextPart = new HashSet<>();

	/** Start of each domain's next part, in milliseconds since the epoch. */
	private final Map<FailureDomain, Long> nextParts = new TreeMap<>(Comparator.comparing(FailureDomain::value));

	private List<FailureDomain> domains = List.of();

	private long fencing;

	private long wallMillis;

	private long windowMillis = 1;

	private long graceMillis;

	private long nextOperationMillis;

	private long tokenCount;

	private @Nullable Pointer pointer;

	private long pointerVersion;

	private boolean pointerRead;

	private boolean storeFailing;

	private long storeReachableSinceMillis;

	private boolean windowRead;

	private boolean sent;

	private @Nullable FailureDomain queriedDomain;

	private @Nullable WindowRecord finalizedWindow;

	private UsageWindows(String holder, Clock clock, LongPredicate leaseHeld, DoubleSupplier random) {
		this.holder = Objects.requireNonNull(holder, "holder");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.leaseHeld = Objects.requireNonNull(leaseHeld, "leaseHeld");
		this.backoff = Backoff.of(RETRY_BASE_MILLIS, MAX_RETRY_DELAY_MILLIS, random);
	}

	/**
	 * Creates the windows of a deployment.
	 * @param holder the name of this process, unique for each start of it
	 * @param clock the monotonic clock of the process
	 * @param leaseHeld tells whether this process holds the usage lease under a given
	 * fencing number
	 * @param random returns numbers from 0 (inclusive) to 1 (exclusive), for jitter
	 * @return the windows, none of which is finalized before {@link #beginTerm(long)}
	 */
	public static UsageWindows of(String holder, Clock clock, LongPredicate leaseHeld, DoubleSupplier random) {
		return new UsageWindows(holder, clock, leaseHeld, random);
	}

	/**
	 * Starts a term as holder of the usage lease. Does nothing if the term has started
	 * already.
	 * @param number the fencing number of the term
	 */
	public synchronized void beginTerm(long number) {
		if (number != this.fencing) {
			this.fencing = number;
			this.pointer = null;
			this.pointerRead = false;
			this.nextOperationMillis = 0;
			this.storeReachableSinceMillis = this.clock.millis();
			startWindow();
		}
	}

	/**
	 * Sets the wall-clock time and the settings in force.
	 * @param wallTimeMillis the wall-clock time, in milliseconds since the epoch
	 * @param inventoryDomains the failure domains of the inventory
	 * @param window the length of new windows, in milliseconds
	 * @param grace how long the domains wait for missing counters after the end of a
	 * window, in milliseconds
	 */
	public synchronized void onTick(long wallTimeMillis, List<FailureDomain> inventoryDomains, long window,
			long grace) {
		if (window <= 0) {
			throw new IllegalArgumentException("window must be positive: " + window);
		}
		this.wallMillis = wallTimeMillis;
		this.domains = List.copyOf(inventoryDomains);
		this.windowMillis = window;
		this.graceMillis = grace;
	}

	/**
	 * Returns the window to send.
	 * @return the finalized window; none if there is no window to send
	 */
	public synchronized Option<WindowRecord> sendable() {
		boolean due = this.fencing > 0 && !this.sent && this.leaseHeld.test(this.fencing);
		return due ? Option.of(this.finalizedWindow) : Option.none();
	}

	/**
	 * Marks a window as sent, after the receiver of reports accepted it.
	 * @param window the start of the window, in milliseconds since the epoch
	 */
	public synchronized void sent(long window) {
		WindowRecord record = this.finalizedWindow;
		if (record != null && record.window() == window) {
			this.sent = true;
		}
	}

	@Override
	public synchronized @Nullable StoreOperation next() {
		if (this.fencing == 0 || this.wallMillis == 0 || this.clock.millis() < this.nextOperationMillis
				|| !this.leaseHeld.test(this.fencing)) {
			return null;
		}
		if (!this.pointerRead) {
			return new StoreOperation.Read(REPORTED_KEY);
		}
		Pointer lastReported = this.pointer;
		if (lastReported == null) {
			// The first window starts with the earliest first part of any known domain.
			StoreOperation firstPartRead = nextDomainRead((domain) -> !this.nextParts.containsKey(domain));
			if (firstPartRead != null) {
				return firstPartRead;
			}
			long start = this.nextParts.values().stream().reduce(windowStart(this.wallMillis), Math::min);
			this.domainsWithoutNextPart.clear();
			return writePointer(start - this.windowMillis, start, nextParts());
		}
		WindowRecord record = this.finalizedWindow;
		if (record != null) {
			return this.sent ? writePointer(record.window(), record.end(), record.next()) : null;
		}
		long start = lastReported.end();
		long end = windowStart(start) + this.windowMillis;
		if (!this.windowRead) {
			return (this.wallMillis < end) ? null : new StoreOperation.Read(WINDOW_KEY_PREFIX + start);
		}
		StoreOperation read = nextDomainRead((domain) -> lacksParts(domain, end));
		if (read != null) {
			return read;
		}
		boolean allPartsRead = this.domains.stream().noneMatch((domain) -> lacksParts(domain, end));
		boolean waiting = this.wallMillis < end + 2 * this.graceMillis + PART_WAIT_MILLIS
				|| this.clock.millis() - this.storeReachableSinceMillis < PART_WAIT_MILLIS;
		if (!allPartsRead && waiting) {
			this.domainsWithoutNextPart.clear();
			this.nextOperationMillis = this.clock.millis() + POLL_INTERVAL_MILLIS;
			return null;
		}
		return new StoreOperation.Write(WINDOW_KEY_PREFIX + start, CoreJson.bytes(finalizeWindow(start, end)), 0);
	}

	@Override
	public synchronized void onResult(StoreOperation operation, Either<StoreFailure, Option<StoredObject>> result) {
		if (result.isLeft()) {
			boolean conditionFailed = result.getLeft() instanceof StoreFailure.ConditionFailed;
			this.storeFailing = !conditionFailed;
			this.nextOperationMillis = this.clock.millis() + (conditionFailed ? 0 : this.backoff.nextDelayMillis());
			// The outcome of a failed write may be unknown, so the object is read again.
			if (operation instanceof StoreOperation.Write write) {
				if (write.key().equals(REPORTED_KEY)) {
					this.pointerRead = false;
				}
				else {
					this.windowRead = false;
				}
			}
			return;
		}
		this.backoff.reset();
		if (this.storeFailing) {
			this.storeFailing = false;
			this.storeReachableSinceMillis = this.clock.millis();
		}
		String key = (operation instanceof StoreOperation.Write write) ? write.key()
				: ((StoreOperation.Read) operation).key();
		Option<StoredObject> object = result.get();
		if (key.equals(REPORTED_KEY)) {
			onPointer(object);
		}
		else if (key.startsWith(WINDOW_KEY_PREFIX)) {
			this.windowRead = true;
			object.flatMap((found) -> CoreJson.read(found.body(), WindowRecord.class))
				.forEach((record) -> this.finalizedWindow = record);
		}
		else if (this.queriedDomain != null) {
			onPart(this.queriedDomain, object);
		}
	}

	private void onPart(FailureDomain domain, Option<StoredObject> object) {
		if (!this.nextParts.containsKey(domain)) {
			this.domainsWithoutNextPart.add(domain);
			object.flatMap((found) -> CoreJson.read(found.body(), UsageParts.Pointer.class)).forEach((found) -> {
				this.nextParts.put(domain, found.first());
				this.domainsWithoutNextPart.remove(domain);
			});
			return;
		}
		Option<UsageParts.Part> part = object.flatMap((found) -> CoreJson.read(found.body(), UsageParts.Part.class))
			.filter(UsageParts.Part::closed);
		if (part.isEmpty()) {
			this.domainsWithoutNextPart.add(domain);
			return;
		}
		this.collectedParts.computeIfAbsent(domain, (unused) -> new ArrayList<>()).add(part.get());
		this.nextParts.put(domain, part.get().end());
	}

	private void onPointer(Option<StoredObject> object) {
		this.pointerRead = true;
		this.pointerVersion = object.map(StoredObject::version).getOrElse(0L);
		Pointer read = object.flatMap((found) -> CoreJson.read(found.body(), Pointer.class)).getOrNull();
		if (read == null || this.pointer == null || read.window() != this.pointer.window()) {
			this.pointer = read;
			startWindow();
		}
	}

	private void startWindow() {
		this.finalizedWindow = null;
		this.sent = false;
		this.windowRead = false;
		this.collectedParts.clear();
		this.domainsWithoutNextPart.clear();
		this.nextParts.clear();
		if (this.pointer != null) {
			this.pointer.next().forEach((next) -> this.nextParts.put(next.domain(), next.window()));
		}
	}

	private StoreOperation writePointer(long window, long end, List<PartId> next) {
		String token = this.holder + "/" + this.fencing + "/" + (++this.tokenCount);
		return new StoreOperation.Write(REPORTED_KEY, CoreJson.bytes(new Pointer(token, window, end, next)),
				this.pointerVersion);
	}

	private @Nullable StoreOperation nextDomainRead(Predicate<FailureDomain> needsRead) {
		// A domain that was removed from the inventory may still have counts to report.
		Set<FailureDomain> candidates = new LinkedHashSet<>(this.domains);
		candidates.addAll(this.nextParts.keySet());
		for (FailureDomain domain : candidates) {
			if (needsRead.test(domain) && !this.domainsWithoutNextPart.contains(domain)) {
				this.queriedDomain = domain;
				Long window = this.nextParts.get(domain);
				return new StoreOperation.Read(
						(window != null) ? UsageParts.key(domain, window) : UsageParts.pointerKey(domain));
			}
		}
		return null;
	}

	private boolean lacksParts(FailureDomain domain, long end) {
		Long next = this.nextParts.get(domain);
		return (next == null || next < end)
				&& this.collectedParts.getOrDefault(domain, List.of()).size() < MAX_PARTS_PER_DOMAIN;
	}

	private List<PartId> nextParts() {
		return this.nextParts.entrySet().stream().map((next) -> new PartId(next.getKey(), next.getValue())).toList();
	}

	private WindowRecord finalizeWindow(long start, long end) {
		List<List<UsageCount>> figures = new ArrayList<>();
		List<Correction> corrections = new ArrayList<>();
		List<Gap> gaps = new ArrayList<>();
		this.collectedParts.forEach((domain, parts) -> parts.forEach((part) -> {
			if (part.window() >= start) {
				figures.add(part.figures());
			}
			else {
				corrections.add(new Correction("domain:" + domain, part.window(), part.figures()));
			}
			corrections.addAll(part.corrections());
			gaps.addAll(part.gaps());
		}));
		for (FailureDomain domain : this.domains) {
			Long next = this.nextParts.get(domain);
			if (next == null || next < end) {
				gaps.add(new Gap("domain:" + domain, start, 0));
			}
		}
		String token = this.holder + "/" + this.fencing + "/" + (++this.tokenCount);
		return new WindowRecord(token, this.fencing, start, end, UsageFigures.sum(figures), corrections, gaps,
				nextParts());
	}

	private long windowStart(long wallTimeMillis) {
		return wallTimeMillis - Math.floorMod(wallTimeMillis, this.windowMillis);
	}

	/**
	 * Identifies a part of a domain.
	 *
	 * @param domain the failure domain
	 * @param window the start of the window of the part, in milliseconds since the epoch
	 */
	public record PartId(FailureDomain domain, long window) {
	}

	/**
	 * A finalized window, as stored and reported.
	 *
	 * @param token the token of the write
	 * @param fencing the fencing number of the process that finalized the window
	 * @param window the start of the window, in milliseconds since the epoch
	 * @param end the end of the window, in milliseconds since the epoch
	 * @param figures the counts of the window
	 * @param corrections late counts of earlier windows
	 * @param gaps counters that were not read
	 * @param next the first part of each domain that the next window contains
	 */
	public record WindowRecord(String token, long fencing, long window, long end, List<UsageCount> figures,
			List<Correction> corrections, List<Gap> gaps, List<PartId> next) {

		public WindowRecord {
			figures = List.copyOf(figures);
			corrections = List.copyOf(corrections);
			gaps = List.copyOf(gaps);
			next = List.copyOf(next);
		}

	}

	private record Pointer(String token, long window, long end, List<PartId> next) {

		private Pointer {
			next = List.copyOf(next);
		}

	}

}
