package org.bamboorelay.core.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import java.util.function.LongPredicate;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage.UsageCount;
import org.bamboorelay.core.connection.PeerMessage.UsageCounters;
import org.bamboorelay.core.process.UsageFigures.Correction;
import org.bamboorelay.core.process.UsageFigures.Gap;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.jspecify.annotations.Nullable;

/**
 * Converts the cumulative counters of a domain's entry processes into the domain's part
 * of each usage window, which is checkpointed in {@code usage/parts/<domain>/<window>}.
 * The first reading of a counter after the end of a window separates that window from the
 * next one. A closed part is never written again. Parts are contiguous in time.
 * {@code usage/parts/<domain>/latest} points to one of the last parts, from which a new
 * holder continues.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class UsageParts extends FencedStateMachine {

	/**
	 * Number of windows after which an incarnation that does not answer is dropped. It
	 * was reported as a gap long before.
	 */
	private static final int MAX_SILENT_WINDOWS = 24;

	/**
	 * Maximum number of windows that a holder keeps in memory while the store is
	 * unavailable. A process that has lost the lease for good ends its term at this
	 * number.
	 */
	private static final int MAX_WINDOWS_IN_MEMORY = 1_024;

	private static final long CHECKPOINT_INTERVAL_MILLIS = 5_000;

	private static final long RETRY_BASE_MILLIS = 200;

	private final Deque<WindowState> windowStates = new ArrayDeque<>();

	private long windowMillis = 1;

	private long graceMillis;

	private long wallMillis;

	private boolean loaded;

	private boolean rereadRequired;

	private @Nullable Pointer pointer;

	private long pointerVersion;

	private boolean pointerRead;

	private long nextLoadWindow;

	private @Nullable WindowState lastClosed;

	private long nextCheckpointMillis;

	private UsageParts(FailureDomain domain, String holder, Clock clock, LongPredicate leaseHeld,
			DoubleSupplier random) {
		super(domain, holder, clock, leaseHeld, RETRY_BASE_MILLIS, random);
	}

	/**
	 * Creates the parts of a domain.
	 * @param domain the failure domain
	 * @param holder the name of this process, unique for each start of it
	 * @param clock the monotonic clock of the process
	 * @param leaseHeld tells whether this process holds the domain's lease under a given
	 * fencing number
	 * @param random returns numbers from 0 (inclusive) to 1 (exclusive), for jitter
	 * @return the parts, which count nothing before {@link #begin(long)}
	 */
	public static UsageParts of(FailureDomain domain, String holder, Clock clock, LongPredicate leaseHeld,
			DoubleSupplier random) {
		return new UsageParts(domain, holder, clock, leaseHeld, random);
	}

	/**
	 * Returns the key of a part.
	 * @param domain the failure domain
	 * @param window the start of the window, in milliseconds since the epoch
	 * @return the key in the object store
	 */
	public static String key(FailureDomain domain, long window) {
		return "usage/parts/" + domain + "/" + window;
	}

	@Override
	void onTermBegin() {
		reload();
	}

	/**
	 * Advances the wall-clock time and closes the windows that are due.
	 * @param wallTimeMillis the wall-clock time, in milliseconds since the epoch
	 * @param window the length of new windows, in milliseconds
	 * @param grace how long to wait for missing counters after the end of a window, in
	 * milliseconds
	 */
	public synchronized void onTick(long wallTimeMillis, long window, long grace) {
		if (window <= 0) {
			throw new IllegalArgumentException("window must be positive: " + window);
		}
		this.wallMillis = Math.max(wallTimeMillis, this.wallMillis);
		this.windowMillis = window;
		this.graceMillis = grace;
		if (!this.loaded || !hasTerm()) {
			return;
		}
		if (this.windowStates.size() > MAX_WINDOWS_IN_MEMORY) {
			endTerm();
			return;
		}
		while (isDue(this.windowStates.getLast())) {
			closeCurrentWindow();
		}
	}

	/**
	 * Processes the counters of an entry process.
	 * @param host the host of the entry process
	 * @param counters its cumulative counters
	 */
	public synchronized void onCounters(HostId host, UsageCounters counters) {
		if (!this.loaded || !hasTerm()) {
			return;
		}
		WindowState windowState = this.windowStates.getLast();
		String incarnation = counters.incarnation();
		for (Map.Entry<String, Reading> entry : windowState.readings.entrySet()) {
			Reading previous = entry.getValue();
			if (previous.host().equals(host) && !entry.getKey().equals(incarnation) && !previous.ended()) {
				if (!previous.leaving() && !previous.gapNamed()) {
					windowState.gaps.add(new Gap(entry.getKey(), windowState.window, previous.lastReadMillis()));
				}
				entry.setValue(previous.withEnded());
				windowState.dirty = true;
			}
		}
		Reading reading = windowState.readings.getOrDefault(incarnation, Reading.first(host));
		if (reading.complete()) {
			return;
		}
		List<UsageCount> base = reading.base();
		if (reading.silentFrom() > 0) {
			List<UsageCount> lateCounts = UsageFigures.subtract(counters.counts(), base);
			if (!lateCounts.isEmpty()) {
				windowState.corrections.add(new Correction(incarnation, reading.silentFrom(), lateCounts));
			}
			base = counters.counts();
		}
		boolean complete = this.wallMillis >= windowState.end;
		Reading next = new Reading(host, base, counters.counts(), complete, counters.leaving(), false, 0, 0, false,
				this.wallMillis);
		windowState.dirty = windowState.dirty || complete || !next.last().equals(reading.last());
		windowState.readings.put(incarnation, next);
		if (isDue(windowState)) {
			closeCurrentWindow();
		}
	}

	/**
	 * Records that a host did not answer a request for its counters.
	 * @param host the host
	 */
	public synchronized void onNoAnswer(HostId host) {
		if (this.loaded && hasTerm()) {
			this.windowStates.getLast().silentHosts.add(host);
		}
	}

	/**
	 * Returns the number of windows that are closed but not stored yet.
	 * @return the number of windows
	 */
	public synchronized int backlog() {
		return Math.max(0, this.windowStates.size() - 1);
	}

	@Override
	public synchronized @Nullable StoreOperation next() {
		if (this.wallMillis == 0 || !mayOperate()) {
			return null;
		}
		if (!this.pointerRead) {
			return new StoreOperation.Read(pointerKey());
		}
		Pointer from = this.pointer;
		if (from == null) {
			return writePointer(windowStart(this.wallMillis));
		}
		if (!this.loaded) {
			return new StoreOperation.Read(key(domain(), this.nextLoadWindow));
		}
		long nowMillis = nowMillis();
		WindowState windowState = this.windowStates.getFirst();
		if (this.rereadRequired) {
			return new StoreOperation.Read(key(domain(), windowState.window));
		}
		if (!windowState.closed && !(windowState.dirty && nowMillis >= this.nextCheckpointMillis)) {
			boolean pointerOutdated = windowState.version > 0 && from.window() < windowState.window;
			return pointerOutdated ? writePointer(windowState.window) : null;
		}
		windowState.dirty = false;
		windowState.closedWhenWritten = windowState.closed;
		this.nextCheckpointMillis = nowMillis + CHECKPOINT_INTERVAL_MILLIS;
		return new StoreOperation.Write(key(domain(), windowState.window),
				CoreJson.bytes(windowState.toPart(newToken(), fencing())), windowState.version);
	}

	@Override
	public synchronized void onResult(StoreOperation operation, Either<StoreFailure, Option<StoredObject>> result) {
		boolean isPointer = (operation instanceof StoreOperation.Write write) ? write.key().equals(pointerKey())
				: ((StoreOperation.Read) operation).key().equals(pointerKey());
		if (result.isLeft()) {
			if (isPointer) {
				this.pointerRead = false;
			}
			else {
				this.rereadRequired = this.loaded;
			}
			setRetryDelay(result.getLeft());
			return;
		}
		resetRetryDelay();
		if (isPointer) {
			this.pointerRead = true;
			this.pointerVersion = result.get().map(StoredObject::version).getOrElse(0L);
			this.pointer = result.get().flatMap((object) -> CoreJson.read(object.body(), Pointer.class)).getOrNull();
			if (!this.loaded && this.pointer != null) {
				this.nextLoadWindow = this.pointer.window();
			}
			return;
		}
		Option<Part> part = result.get().flatMap((object) -> CoreJson.read(object.body(), Part.class));
		long version = result.get().map(StoredObject::version).getOrElse(0L);
		if (part.exists((found) -> isWrittenBySuccessor(found.fencing()))) {
			return;
		}
		if (!this.loaded) {
			load(part, version);
			return;
		}
		this.rereadRequired = false;
		WindowState windowState = this.windowStates.getFirst();
		windowState.version = version;
		if (part.isEmpty()) {
			windowState.dirty = true;
			this.nextCheckpointMillis = 0;
			return;
		}
		if (!isOwnToken(part.get().token())) {
			// The former holder wrote after this process had read the part. Continue from
			// the stored part, which others may have read.
			reload();
			return;
		}
		if (operation instanceof StoreOperation.Write) {
			retainOnlyToken(part.get().token());
		}
		if (part.get().closed()) {
			this.windowStates.removeFirst();
			this.nextCheckpointMillis = 0;
		}
		else if (windowState.closedWhenWritten || operation instanceof StoreOperation.Read) {
			windowState.dirty = true;
		}
	}

	/**
	 * Returns the key of the pointer to the parts of a domain.
	 * @param domain the failure domain
	 * @return the key in the object store
	 */
	public static String pointerKey(FailureDomain domain) {
		return "usage/parts/" + domain + "/latest";
	}

	private String pointerKey() {
		return pointerKey(domain());
	}

	private StoreOperation writePointer(long window) {
		long first = (this.pointer != null) ? this.pointer.first() : window;
		return new StoreOperation.Write(pointerKey(), CoreJson.bytes(new Pointer(first, window)), this.pointerVersion);
	}

	private void reload() {
		this.lastClosed = null;
		this.windowStates.clear();
		this.loaded = false;
		this.rereadRequired = false;
		this.pointerRead = false;
		this.pointer = null;
		clearRetryDelay();
		this.nextCheckpointMillis = 0;
	}

	private void load(Option<Part> part, long version) {
		if (part.exists(Part::closed)) {
			this.nextLoadWindow = part.get().end();
			this.lastClosed = WindowState.of(part.get(), version);
			return;
		}
		WindowState windowState;
		if (part.isDefined()) {
			windowState = WindowState.of(part.get(), version);
		}
		else {
			windowState = (this.lastClosed != null) ? this.lastClosed.nextWindowState(end(this.nextLoadWindow))
					: new WindowState(this.nextLoadWindow, end(this.nextLoadWindow));
		}
		this.lastClosed = null;
		// Write the part at once, so that the former holder's next checkpoint fails.
		windowState.dirty = true;
		this.windowStates.add(windowState);
		this.loaded = true;
	}

	private boolean isDue(WindowState windowState) {
		if (this.wallMillis < windowState.end) {
			return false;
		}
		boolean allRead = !windowState.readings.isEmpty()
				&& windowState.readings.values().stream().allMatch((reading) -> reading.complete() || reading.ended());
		return allRead || this.wallMillis >= windowState.end + this.graceMillis;
	}

	private void closeCurrentWindow() {
		WindowState windowState = this.windowStates.getLast();
		windowState.closed = true;
		windowState.readings.replaceAll((incarnation, reading) -> {
			if (reading.complete() || reading.ended()) {
				return reading;
			}
			int silentWindowCount = reading.silentWindows()
					+ (windowState.silentHosts.contains(reading.host()) ? 1 : 0);
			boolean gap = silentWindowCount > 1 && !reading.gapNamed() && !reading.leaving();
			if (gap) {
				windowState.gaps.add(new Gap(incarnation, windowState.window, reading.lastReadMillis()));
			}
			long from = (reading.silentFrom() > 0) ? reading.silentFrom() : windowState.window;
			return reading.withSilence(silentWindowCount, from, gap || reading.gapNamed());
		});
		this.windowStates.addLast(windowState.nextWindowState(end(windowState.end)));
	}

	private long windowStart(long wallTimeMillis) {
		return wallTimeMillis - Math.floorMod(wallTimeMillis, this.windowMillis);
	}

	private long end(long start) {
		return windowStart(start) + this.windowMillis;
	}

	/**
	 * The part of a domain in a window, as stored.
	 *
	 * @param token the token of the write
	 * @param fencing the fencing number of the writer
	 * @param window the start of the window, in milliseconds since the epoch
	 * @param end the end of the window, in milliseconds since the epoch
	 * @param closed whether the part is complete and will not be written again
	 * @param readings the readings by incarnation
	 * @param figures the counts of the window
	 * @param corrections late counts of earlier windows
	 * @param gaps counters that were not read
	 */
	public record Part(String token, long fencing, long window, long end, boolean closed, Map<String, Reading> readings,
			List<UsageCount> figures, List<Correction> corrections, List<Gap> gaps) {
	}

	/**
	 * The readings of one incarnation in a window.
	 *
	 * @param host the host of the incarnation
	 * @param base the cumulative counts that earlier windows include
	 * @param last the cumulative counts as last read; this window includes their increase
	 * over {@code base}
	 * @param complete whether the counters were read after the end of the window
	 * @param leaving whether the incarnation announced that these counts are its last
	 * @param ended whether a newer incarnation runs on the same host
	 * @param silentWindows the number of windows that ended without an answer
	 * @param silentFrom the start of the first window that ended without an answer, in
	 * milliseconds since the epoch; 0 for none
	 * @param gapNamed whether the unread counters were reported as a gap
	 * @param lastReadMillis when the counters were last read, in milliseconds since the
	 * epoch
	 */
	public record Reading(HostId host, List<UsageCount> base, List<UsageCount> last, boolean complete, boolean leaving,
			boolean ended, int silentWindows, long silentFrom, boolean gapNamed, long lastReadMillis) {

		static Reading first(HostId host) {
			return new Reading(host, List.of(), List.of(), false, false, false, 0, 0, false, 0);
		}

		Reading withEnded() {
			return new Reading(this.host, this.base, this.last, this.complete, this.leaving, true, this.silentWindows,
					this.silentFrom, this.gapNamed, this.lastReadMillis);
		}

		Reading withSilence(int windows, long from, boolean gap) {
			return new Reading(this.host, this.base, this.last, false, this.leaving, false, windows, from, gap,
					this.lastReadMillis);
		}

		Reading forNextWindow() {
			return new Reading(this.host, this.last, this.last, false, this.leaving, false, this.silentWindows,
					this.silentFrom, this.gapNamed, this.lastReadMillis);
		}

	}

	/**
	 * Pointer to the parts of a domain.
	 *
	 * @param first the start of the first part, in milliseconds since the epoch
	 * @param window the start of one of the last parts, in milliseconds since the epoch
	 */
	public record Pointer(long first, long window) {
	}

	private static final class WindowState {

		private final long window;

		private final long end;

		private final Map<String, Reading> readings = new TreeMap<>();

		private final List<Correction> corrections = new ArrayList<>();

		private final List<Gap> gaps = new ArrayList<>();

		private final Set<HostId> silentHosts = new HashSet<>();

		private long version;

		private boolean closed;

		private boolean closedWhenWritten;

		private boolean dirty;

		private WindowState(long window, long end) {
			this.window = window;
			this.end = end;
		}

		private static WindowState of(Part part, long version) {
			WindowState windowState = new WindowState(part.window(), part.end());
			windowState.readings.putAll(part.readings());
			windowState.corrections.addAll(part.corrections());
			windowState.gaps.addAll(part.gaps());
			windowState.version = version;
			windowState.closed = part.closed();
			return windowState;
		}

		private WindowState nextWindowState(long nextEnd) {
			WindowState next = new WindowState(this.end, nextEnd);
			this.readings.forEach((incarnation, reading) -> {
				boolean dropped = reading.ended() || reading.silentWindows() > MAX_SILENT_WINDOWS
						|| (reading.leaving() && reading.silentWindows() > 0);
				if (!dropped) {
					next.readings.put(incarnation, reading.forNextWindow());
				}
			});
			return next;
		}

		private Part toPart(String token, long fencing) {
			List<UsageCount> figures = UsageFigures.sum(this.readings.values()
				.stream()
				.map((reading) -> UsageFigures.subtract(reading.last(), reading.base()))
				.toList());
			return new Part(token, fencing, this.window, this.end, this.closed, Map.copyOf(this.readings), figures,
					List.copyOf(this.corrections), List.copyOf(this.gaps));
		}

	}

}
