package org.bamboorelay.core.process;

import java.util.Objects;

import org.bamboorelay.core.time.Clock;

/**
 * Tracks whether a host's failure domain is isolated, that is, receives nothing from any
 * other domain. During and right after isolation the host cannot know which submissions
 * have ended and which hosts are alive, so it must not start items or take over
 * submissions.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class DomainIsolation {

	/**
	 * Time after the end of an isolation during which no submission is taken over, in
	 * milliseconds. Hosts whose links are not restored yet look as if they were dead.
	 */
	static final long REJOIN_DELAY_MILLIS = 2_500;

	private final Clock clock;

	private long lastIsolatedMillis;

	private boolean recordsStale;

	private DomainIsolation(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
		this.lastIsolatedMillis = clock.millis() - REJOIN_DELAY_MILLIS;
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
	 * Records whether the host's domain is isolated now.
	 * @param isolated whether no host of another domain is heard
	 */
	public synchronized void observe(boolean isolated) {
		if (isolated) {
			this.lastIsolatedMillis = this.clock.millis();
			this.recordsStale = true;
		}
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
	 * @return whether their submissions may be taken over
	 */
	public synchronized boolean mayTakeOver() {
		return this.clock.millis() - this.lastIsolatedMillis >= REJOIN_DELAY_MILLIS;
	}

}
