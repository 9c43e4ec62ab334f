package org.bamboorelay.core.process;

import java.util.Objects;

import org.bamboorelay.core.time.Clock;

/**
 * What a host may do while its failure domain hears no other domain, and right after. It
 * cannot know then which submissions were ended, nor which hosts live.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class DomainIsolation {

	/**
	 * Time after isolation in which no submission is taken over, in milliseconds: hosts
	 * whose links are not back yet look as if they were gone.
	 */
	static final long REJOIN_MILLIS = 2_500;

	private final Clock clock;

	private long lastAlone;

	private boolean doubtful;

	private DomainIsolation(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
		this.lastAlone = clock.millis() - REJOIN_MILLIS;
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
	 * Notes whether other domains are heard.
	 * @param alone whether no host of another domain is heard
	 */
	public synchronized void observe(boolean alone) {
		if (alone) {
			this.lastAlone = this.clock.millis();
			this.doubtful = true;
		}
	}

	/**
	 * Notes that the records of all running submissions were read from the store.
	 * @param wasAlone whether other domains were not heard when that began
	 */
	public synchronized void confirmed(boolean wasAlone) {
		if (!wasAlone) {
			this.doubtful = false;
		}
	}

	/**
	 * Tells whether submissions may have been ended unseen, so that no item may start.
	 * @return whether the host was isolated and its records were not read since
	 */
	public synchronized boolean isDoubtful() {
		return this.doubtful;
	}

	/**
	 * Tells whether hosts that are not heard may be taken for gone.
	 * @return whether their submissions may be taken over
	 */
	public synchronized boolean mayTakeOver() {
		return this.clock.millis() - this.lastAlone >= REJOIN_MILLIS;
	}

}
