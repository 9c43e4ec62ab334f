package org.bamboorelay.standins.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.TreeMap;

import org.bamboorelay.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Host list whose changes become visible after a fixed delay.
 * <p>
 * Thread-safe.
 */
public final class HostTable {

	private final TreeMap<String, HostEntry> visible = new TreeMap<>();

	private final Deque<Change> pending = new ArrayDeque<>();

	private final Clock clock;

	private final long lagMillis;

	/**
	 * Creates an empty list.
	 * @param clock the clock
	 * @param lagMillis delay until a change becomes visible, in milliseconds
	 */
	public HostTable(Clock clock, long lagMillis) {
		this.clock = Objects.requireNonNull(clock, "clock");
		if (lagMillis < 0) {
			throw new IllegalArgumentException("lagMillis must not be negative: " + lagMillis);
		}
		this.lagMillis = lagMillis;
	}

	/**
	 * Adds or changes an entry.
	 * @param entry the entry
	 */
	public synchronized void put(HostEntry entry) {
		this.pending.addLast(new Change(this.clock.millis() + this.lagMillis, entry.endpoint(), entry));
	}

	/**
	 * Removes an entry.
	 * @param endpoint the endpoint
	 */
	public synchronized void remove(String endpoint) {
		this.pending.addLast(new Change(this.clock.millis() + this.lagMillis, endpoint, null));
	}

	/**
	 * Returns the entries that are visible at the current time.
	 * @return the entries, sorted by endpoint
	 */
	public synchronized List<HostEntry> entries() {
		long now = this.clock.millis();
		while (!this.pending.isEmpty() && this.pending.getFirst().atMillis() <= now) {
			Change change = this.pending.removeFirst();
			if (change.entry() != null) {
				this.visible.put(change.endpoint(), change.entry());
			}
			else {
				this.visible.remove(change.endpoint());
			}
		}
		return List.copyOf(this.visible.values());
	}

	private record Change(long atMillis, String endpoint, @Nullable HostEntry entry) {
	}

}
