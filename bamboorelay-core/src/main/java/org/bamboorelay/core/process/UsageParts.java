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
 * of each usage window, which is checkpointed in
 * {@code usage/parts/<domain>/<window>}. The first reading of a counter after the end of
 * a window separates that window from the next one. A closed part is never written again.
 * Parts are contiguous in time. {@code usage/parts/<domain>/latest} points to one of the
 * last parts, from which a new holder continues.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class UsageParts extends HolderDecision {

	/**
	 * Number of windows after which an incarnation that does not answer is dropped. It was
	 * reported as a gap long before.
	 */
	private static final int FORGET_WINDOWS = 24;

	/**
	 * Maximum number of windows that a holder keeps in memory while the store is
	 * unavailable. A process that has lost the lease for good ends its term at this
	 * number.
	 */
	private static final int MAX_SLOTS = 1_024;

	private static final long CHECKPOINT_MILLIS = 5_000;

	private static final long RETRY_BASE_MILLIS = 200;

	private final Deque<Slot> slots = new ArrayDeque<>();

	private long windowMillis = 1;

	private long graceMillis;

	private long wallMillis;

	private boolean loaded;

	private boolean resolving;

	private @Nullable Pointer pointer;

	private long pointerVersion;

	private boolean pointerRead;

	private long lookAt;

	private @Nullable Slot before;

	private long checkpointAt;

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
	void onBegin() {
		reload();
	}

	/**
	 * Advances the wall-clock time and closes the windows that are due.
	 * @param wall the wall-clock time, in milliseconds since the epoch
	 * @param window the length of new windows, in milliseconds
	 * @param grace how long to wait for missing counters after the end of a window, in
	 * milliseconds
	 */
	public synchronized void onTick(long wall, long window, long grace) {
		if (window <= 0) {
			throw new IllegalArgumentException("window must be positive: " + window);
		}
		this.wallMillis = Math.max(wall, this.wallMillis);
		this.windowMillis = window;
		this.graceMillis = grace;
		if (!this.loaded || !hasTerm()) {
			return;
		}
		if (this.slots.size() > MAX_SLOTS) {
			endTerm();
			return;
		}
		while (isDue(this.slots.getLast())) {
			closeLast();
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
		Slot slot = this.slots.getLast();
		String incarnation = counters.incarnation();
		for (Map.Entry<String, Reading> entry : slot.readings.entrySet()) {
			Reading previous = entry.getValue();
			if (previous.host().equals(host) && !entry.getKey().equals(incarnation) && !previous.ended()) {
				if (!previous.leaving() && !previous.gapNamed()) {
					slot.gaps.add(new Gap(entry.getKey(), slot.window, previous.lastReadMillis()));
				}
				entry.setValue(previous.withEnded());
				slot.dirty = true;
			}
		}
		Reading reading = slot.readings.getOrDefault(incarnation, Reading.first(host));
		if (reading.complete()) {
			return;
		}
		List<UsageCount> base = reading.base();
		if (reading.silentFrom() > 0) {
			List<UsageCount> lateCounts = UsageFigures.minus(counters.counts(), base);
			if (!lateCounts.isEmpty()) {
				slot.corrections.add(new Correction(incarnation, reading.silentFrom(), lateCounts));
			}
			base = counters.counts();
		}
		boolean complete = this.wallMillis >= slot.end;
		Reading next = new Reading(host, base, counters.counts(), complete, counters.leaving(), false, 0, 0, false,
				this.wallMillis);
		slot.dirty = slot.dirty || complete || !next.last().equals(reading.last());
		slot.readings.put(incarnation, next);
		if (isDue(slot)) {
			closeLast();
		}
	}

	/**
	 * Records that a host did not answer a request for its counters.
	 * @param host the host
	 */
	public synchronized void onSilence(HostId host) {
		if (this.loaded && hasTerm()) {
			this.slots.getLast().silentHosts.add(host);
		}
	}

	/**
	 * Returns the number of windows that are closed but not stored yet.
	 * @return the number of windows
	 */
	public synchronized int backlog() {
		return Math.max(0, this.slots.size() - 1);
	}

	@Override
	public synchronized @Nullable StoreStep next() {
		if (this.wallMillis == 0 || !mayCall()) {
			return null;
		}
		if (!this.pointerRead) {
			return new StoreStep.Read(pointerKey());
		}
		Pointer from = this.pointer;
		if (from == null) {
			return writePointer(floor(this.wallMillis));
		}
		if (!this.loaded) {
			return new StoreStep.Read(key(domain(), this.lookAt));
		}
		long nowMillis = now();
		Slot slot = this.slots.getFirst();
		if (this.resolving) {
			return new StoreStep.Read(key(domain(), slot.window));
		}
		if (!slot.closed && !(slot.dirty && nowMillis >= this.checkpointAt)) {
			boolean pointerOutdated = slot.version > 0 && from.window() < slot.window;
			return pointerOutdated ? writePointer(slot.window) : null;
		}
		slot.dirty = false;
		slot.closing = slot.closed;
		this.checkpointAt = nowMillis + CHECKPOINT_MILLIS;
		return new StoreStep.Write(key(domain(), slot.window), CoreJson.bytes(slot.toPart(newToken(), fencing())),
				slot.version);
	}

	@Override
	public synchronized void onResult(StoreStep step, Either<StoreFailure, Option<StoredObject>> result) {
		boolean isPointer = (step instanceof StoreStep.Write write) ? write.key().equals(pointerKey())
				: ((StoreStep.Read) step).key().equals(pointerKey());
		if (result.isLeft()) {
			if (isPointer) {
				this.pointerRead = false;
			}
			else {
				this.resolving = this.loaded;
			}
			onFailure(result.getLeft());
			return;
		}
		onSuccess();
		if (isPointer) {
			this.pointerRead = true;
			this.pointerVersion = result.get().map(StoredObject::version).getOrElse(0L);
			this.pointer = result.get().flatMap((object) -> CoreJson.read(object.body(), Pointer.class)).getOrNull();
			if (!this.loaded && this.pointer != null) {
				this.lookAt = this.pointer.window();
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
		this.resolving = false;
		Slot slot = this.slots.getFirst();
		slot.version = version;
		if (part.isEmpty()) {
			slot.dirty = true;
			this.checkpointAt = 0;
			return;
		}
		if (!isOwn(part.get().token())) {
			// The former holder wrote after this process had read the part. Continue from
			// the stored part, which others may have read.
			reload();
			return;
		}
		if (step instanceof StoreStep.Write) {
			keepToken(part.get().token());
		}
		if (part.get().closed()) {
			this.slots.removeFirst();
			this.checkpointAt = 0;
		}
		else if (slot.closing || step instanceof StoreStep.Read) {
			slot.dirty = true;
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

	private StoreStep writePointer(long window) {
		long first = (this.pointer != null) ? this.pointer.first() : window;
		return new StoreStep.Write(pointerKey(), CoreJson.bytes(new Pointer(first, window)), this.pointerVersion);
	}

	private void reload() {
		this.before = null;
		this.slots.clear();
		this.loaded = false;
		this.resolving = false;
		this.pointerRead = false;
		this.pointer = null;
		clearPause();
		this.checkpointAt = 0;
	}

	private void load(Option<Part> part, long version) {
		if (part.exists(Part::closed)) {
			this.lookAt = part.get().end();
			this.before = Slot.of(part.get(), version);
			return;
		}
		Slot slot;
		if (part.isDefined()) {
			slot = Slot.of(part.get(), version);
		}
		else {
			slot = (this.before != null) ? this.before.successor(end(this.lookAt))
					: new Slot(this.lookAt, end(this.lookAt));
		}
		this.before = null;
		// Write the part at once, so that the former holder's next checkpoint fails.
		slot.dirty = true;
		this.slots.add(slot);
		this.loaded = true;
	}

	private boolean isDue(Slot slot) {
		if (this.wallMillis < slot.end) {
			return false;
		}
		boolean allRead = !slot.readings.isEmpty()
				&& slot.readings.values().stream().allMatch((reading) -> reading.complete() || reading.ended());
		return allRead || this.wallMillis >= slot.end + this.graceMillis;
	}

	private void closeLast() {
		Slot slot = this.slots.getLast();
		slot.closed = true;
		slot.readings.replaceAll((incarnation, reading) -> {
			if (reading.complete() || reading.ended()) {
				return reading;
			}
			int silentWindowCount = reading.silentWindows() + (slot.silentHosts.contains(reading.host()) ? 1 : 0);
			boolean gap = silentWindowCount > 1 && !reading.gapNamed() && !reading.leaving();
			if (gap) {
				slot.gaps.add(new Gap(incarnation, slot.window, reading.lastReadMillis()));
			}
			long from = (reading.silentFrom() > 0) ? reading.silentFrom() : slot.window;
			return reading.withSilence(silentWindowCount, from, gap || reading.gapNamed());
		});
		this.slots.addLast(slot.successor(end(slot.end)));
	}

	private long floor(long wall) {
		return wall - Math.floorMod(wall, this.windowMillis);
	}

	private long end(long start) {
		return floor(start) + this.windowMillis;
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

	private static final class Slot {

		private final long window;

		private final long end;

		private final Map<String, Reading> readings = new TreeMap<>();

		private final List<Correction> corrections = new ArrayList<>();

		private final List<Gap> gaps = new ArrayList<>();

		private final Set<HostId> silentHosts = new HashSet<>();

		private long version;

		private boolean closed;

		private boolean closing;

		private boolean dirty;

		private Slot(long window, long end) {
			this.window = window;
			this.end = end;
		}

		private static Slot of(Part part, long version) {
			Slot slot = new Slot(part.window(), part.end());
			slot.readings.putAll(part.readings());
			slot.corrections.addAll(part.corrections());
			slot.gaps.addAll(part.gaps());
			slot.version = version;
			slot.closed = part.closed();
			return slot;
		}

		private Slot successor(long nextEnd) {
			Slot next = new Slot(this.end, nextEnd);
			this.readings.forEach((incarnation, reading) -> {
				boolean dropped = reading.ended() || reading.silentWindows() > FORGET_WINDOWS
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
				.map((reading) -> UsageFigures.minus(reading.last(), reading.base()))
				.toList());
			return new Part(token, fencing, this.window, this.end, this.closed, Map.copyOf(this.readings), figures,
					List.copyOf(this.corrections), List.copyOf(this.gaps));
		}

	}

}
