package org.bamboorelay.core.process;

import java.util.Objects;

import org.bamboorelay.core.time.Clock;

/**
 * Tracks whether a host's failure domain is isolated, that is, hears no other domain and
 * gets no answer from the platform's store. During and right after isolation the host
 * cannot know which submissions have ended, so it must not start items. While the other
 * domains are only silent, it reads from the store which submissions have ended, but it
 * cannot know which hosts are alive, so it must not take over submissions at once.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class DomainIsolation {

	/**
	 * Time after the end of a silence during which no submission is taken over, in
	 * milliseconds. Hosts whose links are not restored yet look as if they were dead.
	 */
	static final long REJOIN_DELAY_MILLIS = 2_500;

	/**
	 * Silence of all other domains, with a store that answers, after which their hosts
	 * are taken to be dead, in milliseconds. Most partitions between domains end earlier.
	 */
	static final long DEAD_SILENCE_MILLIS = 4_000;

	private static final long NONE = Long.MIN_VALUE / 2;

	private final Clock clock;

	private long lastSilentMillis;

	private long silentSinceMillis = NONE;

	private boolean silentHostActive;

	private boolean recordsStale;

	private DomainIsolation(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
		this.lastSilentMillis = clock.millis() - REJOIN_DELAY_MILLIS;
	}

	/**
	 * Creates the state of a host that is not isolated.
	 * @param clock the monotonic clock of the process
	 * @return the state
	 */
	public static DomainIsolation of(Clock clock) {
		return new DomainIsolation(clock);
	}

	/**
	 * Records what this host hears now.
	 * @param isolated whether neither a host of another domain nor the store is heard
	 * @param othersSilent whether hosts of other domains should be heard, and none is;
	 * false if all of them announced that they are leaving
	 */
	public synchronized void observe(boolean isolated, boolean othersSilent) {
		long now = this.clock.millis();
		if (isolated) {
			this.recordsStale = true;
		}
		if (isolated || othersSilent) {
			this.lastSilentMillis = now;
			if (isolated || this.silentSinceMillis == NONE) {
				this.silentSinceMillis = now;
			}
		}
		else {
			this.silentSinceMillis = NONE;
			this.silentHostActive = false;
		}
	}

	/**
	 * Records that a host that is not heard took over a submission, so that it is alive
	 * and reaches the store.
	 */
	public synchronized void onSilentHostActive() {
		this.silentHostActive = true;
	}

	/**
	 * Records that the records of all running submissions were read from the store. Reads
	 * that began during isolation do not count.
	 * @param wasIsolated whether the domain was isolated when the reads began
	 */
	public synchronized void onRecordsRead(boolean wasIsolated) {
		if (!wasIsolated) {
			this.recordsStale = false;
		}
	}

	/**
	 * Tells whether submissions may have ended without this host's knowledge, in which
	 * case no item may start.
	 * @return whether the host was isolated and has not read the records of its
	 * submissions since
	 */
	public synchronized boolean areRecordsStale() {
		return this.recordsStale;
	}

	/**
	 * Tells whether hosts that are not heard may be treated as dead.
	 * @param dutiesHeld whether a host of this domain holds the duties; otherwise a host
	 * that is not heard may hold them
	 * @return whether their submissions may be taken over
	 */
	public synchronized boolean mayTakeOver(boolean dutiesHeld) {
		long now = this.clock.millis();
		if (this.silentSinceMillis == NONE) {
			return now - this.lastSilentMillis >= REJOIN_DELAY_MILLIS;
		}
		return dutiesHeld && !this.silentHostActive && now - this.silentSinceMillis >= DEAD_SILENCE_MILLIS;
	}

}
