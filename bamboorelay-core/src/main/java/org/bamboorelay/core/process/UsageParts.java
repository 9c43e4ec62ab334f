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
 * Turns the cumulative counters of a domain's entry processes into the domain's part of
 * each usage window, checkpointed in {@code usage/parts/<domain>/<window>}. The first
 * reading after the end of a window divides it from the next one. A closed part is never
 * written again. Parts follow each other without a hole;
 * {@code usage/parts/<domain>/latest} names one of the last, from which a new holder goes
 * on.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class UsageParts extends HolderDecision {

	/**
	 * Windows after which an incarnation that does not answer is forgotten; it was named
	 * as a gap long before.
	 */
	private static final int FORGET_WINDOWS = 24;

	/**
	 * Closed windows that a holder keeps in memory while the store is down. A process
	 * that lost the lease for good gives up at this number.
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
	 * @param holder unique for each start of a process
	 * @param clock the monotonic clock of the process
	 * @param leaseHeld tells whether the domain's lease runs under a fencing number
	 * @param random returns numbers from 0 to below 1, for jitter
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
	 * @return the key in the object API
	 */
	public static String key(FailureDomain domain, long window) {
		return "usage/parts/" + domain + "/" + window;
	}

	@Override
	void onBegin() {
		reload();
	}

	/**
	 * Moves the wall clock on and closes the windows whose time is over.
	 * @param wall the wall clock, in milliseconds since the epoch
	 * @param window the length of new windows, in milliseconds
	 * @param grace the wait for missing counters after the end, in milliseconds
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
	 * Takes the counters of an entry process.
	 * @param host the host that answered
	 * @param counters its counters
	 */
	public synchronized void onCounters(HostId host, UsageCounters counters) {
		if (!this.loaded || !hasTerm()) {
			return;
		}
		Slot slot = this.slots.getLast();
		String incarnation = counters.incarnation();
		for (Map.Entry<String, Reading> entry : slot.readings.entrySet()) {
			Reading old = entry.getValue();
			if (old.host().equals(host) && !entry.getKey().equals(incarnation) && !old.ended()) {
				if (!old.leaving() && !old.gapNamed()) {
					slot.gaps.add(new Gap(entry.getKey(), slot.window, old.lastReadMillis()));
				}
				entry.setValue(old.withEnded());
				slot.dirty = true;
			}
		}
		Reading reading = slot.readings.getOrDefault(incarnation, Reading.first(host));
		if (reading.complete()) {
			return;
		}
		List<UsageCount> base = reading.base();
		if (reading.silentFrom() > 0) {
			List<UsageCount> late = UsageFigures.minus(counters.counts(), base);
			if (!late.isEmpty()) {
				slot.corrections.add(new Correction(incarnation, reading.silentFrom(), late));
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
	 * Notes that a host did not answer.
	 * @param host the host
	 */
	public synchronized void onSilence(HostId host) {
		if (this.loaded && hasTerm()) {
			this.slots.getLast().silentHosts.add(host);
		}
	}

	/**
	 * Returns the windows that are closed but not yet in the store.
	 * @return the number
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
		long now = now();
		Slot slot = this.slots.getFirst();
		if (this.resolving) {
			return new StoreStep.Read(key(domain(), slot.window));
		}
		if (!slot.closed && !(slot.dirty && now >= this.checkpointAt)) {
			boolean behind = slot.version > 0 && from.window() < slot.window;
			return behind ? writePointer(slot.window) : null;
		}
		slot.dirty = false;
		slot.closing = slot.closed;
		this.checkpointAt = now + CHECKPOINT_MILLIS;
		return new StoreStep.Write(key(domain(), slot.window), CoreJson.bytes(slot.toPart(newToken(), fencing())),
				slot.version);
	}

	@Override
	public synchronized void onResult(StoreStep step, Either<StoreFailure, Option<StoredObject>> result) {
		boolean onPointer = (step instanceof StoreStep.Write write) ? write.key().equals(pointerKey())
				: ((StoreStep.Read) step).key().equals(pointerKey());
		if (result.isLeft()) {
			if (onPointer) {
				this.pointerRead = false;
			}
			else {
				this.resolving = this.loaded;
			}
			onFailure(result.getLeft());
			return;
		}
		onSuccess();
		if (onPointer) {
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
			// The former holder wrote after this process had looked: start from its
			// record, which others may have read.
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
	 * Returns the key of a domain's pointer.
	 * @param domain the failure domain
	 * @return the key in the object API
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
		// Written at once, so that the former holder's next checkpoint fails.
		slot.dirty = true;
		this.slots.add(slot);
		this.loaded = true;
	}

	private boolean isDue(Slot slot) {
		if (this.wallMillis < slot.end) {
			return false;
		}
		boolean whole = !slot.readings.isEmpty()
				&& slot.readings.values().stream().allMatch((reading) -> reading.complete() || reading.ended());
		return whole || this.wallMillis >= slot.end + this.graceMillis;
	}

	private void closeLast() {
		Slot slot = this.slots.getLast();
		slot.closed = true;
		slot.readings.replaceAll((incarnation, reading) -> {
			if (reading.complete() || reading.ended()) {
				return reading;
			}
			int silent = reading.silentWindows() + (slot.silentHosts.contains(reading.host()) ? 1 : 0);
			boolean gap = silent > 1 && !reading.gapNamed() && !reading.leaving();
			if (gap) {
				slot.gaps.add(new Gap(incarnation, slot.window, reading.lastReadMillis()));
			}
			long from = (reading.silentFrom() > 0) ? reading.silentFrom() : slot.window;
			return reading.withSilence(silent, from, gap || reading.gapNamed());
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
	 * @param closed whether the part is complete and never written again
	 * @param readings the readings by incarnation
	 * @param figures what was served in the window
	 * @param corrections late counts of earlier windows
	 * @param gaps counters that were never read
	 */
	public record Part(String token, long fencing, long window, long end, boolean closed, Map<String, Reading> readings,
			List<UsageCount> figures, List<Correction> corrections, List<Gap> gaps) {
	}

	/**
	 * The readings of one incarnation in a window.
	 *
	 * @param host its host
	 * @param base the counters that earlier windows contain
	 * @param last the counters that this window contains
	 * @param complete whether they were read after the window's end
	 * @param leaving whether the incarnation said that these are its last
	 * @param ended whether another incarnation runs on its host
	 * @param silentWindows windows that ended without an answer
	 * @param silentFrom the first window that ended without an answer; 0 for none
	 * @param gapNamed whether its unread counters were named as a gap
	 * @param lastReadMillis when it was read, in milliseconds since the epoch
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
	 * Where the parts of a domain are.
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
				boolean gone = reading.ended() || reading.silentWindows() > FORGET_WINDOWS
						|| (reading.leaving() && reading.silentWindows() > 0);
				if (!gone) {
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
