package org.bamboorelay.core.process;

import java.util.Objects;

import org.bamboorelay.core.time.Clock;

/**
 * Decides whether a host's failure domain is cut off: it hears no other domain, and the
 * platform's store does not answer either. A host of such a domain rejects at once what
 * needs the store, and callers are sent to other domains. The store is probed as soon as
 * the other domains fall silent, because no call may be on its way.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class DomainCutOff {

	/** Silence of all other domains from which the store is probed, in milliseconds. */
	static final long SUSPICION_MILLIS = 700;

	/** Silence of all other domains from which a domain is isolated, in milliseconds. */
	static final long ISOLATION_MILLIS = 1_000;

	/** Interval between two probes of the store, in milliseconds. */
	static final long PROBE_INTERVAL_MILLIS = 500;

	/** Time after which a probe counts as not answered, in milliseconds. */
	static final long PROBE_TIMEOUT_MILLIS = 400;

	private static final long NONE = -1;

	private final Clock clock;

	private long nextProbeMillis;

	private long unansweredProbeMillis = NONE;

	private boolean outsideSilent;

	private boolean storeAnswering = true;

	private DomainCutOff(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Creates the state of a domain that is not cut off.
	 * @param clock the monotonic clock of the process
	 * @return the state
	 */
	public static DomainCutOff of(Clock clock) {
		return new DomainCutOff(clock);
	}

	/**
	 * Records what this host heard last.
	 * @param silenceMillis the time since a status of a host in another domain was
	 * received, in milliseconds; 0 if no other domain is known
	 * @param lastStoreResponseMillis when the store answered a call of this host last, in
	 * milliseconds of the clock
	 * @return whether to probe the store now
	 */
	public synchronized boolean observe(long silenceMillis, long lastStoreResponseMillis) {
		long now = this.clock.millis();
		this.outsideSilent = silenceMillis >= ISOLATION_MILLIS;
		this.storeAnswering = now - lastStoreResponseMillis < PROBE_INTERVAL_MILLIS + PROBE_TIMEOUT_MILLIS;
		if (silenceMillis < SUSPICION_MILLIS) {
			this.unansweredProbeMillis = NONE;
			this.nextProbeMillis = now;
			return false;
		}
		if (lastStoreResponseMillis >= this.unansweredProbeMillis) {
			this.unansweredProbeMillis = NONE;
		}
		boolean respondedRecently = now - lastStoreResponseMillis < PROBE_INTERVAL_MILLIS;
		if (now < this.nextProbeMillis || respondedRecently) {
			return false;
		}
		this.nextProbeMillis = now + PROBE_INTERVAL_MILLIS;
		if (this.unansweredProbeMillis == NONE) {
			this.unansweredProbeMillis = now;
		}
		return true;
	}

	/**
	 * Returns whether no other failure domain is heard.
	 * @return whether all other domains are silent
	 */
	public synchronized boolean isOutsideSilent() {
		return this.outsideSilent;
	}

	/**
	 * Returns whether the store answered the latest probe in time, which is sent while no
	 * other domain is heard.
	 * @return whether this host can read from the store what the other domains would tell
	 * it
	 */
	public synchronized boolean isStoreAnswering() {
		return this.storeAnswering;
	}

	/**
	 * Returns whether the domain reaches neither the other domains nor the store.
	 * @return whether the domain is cut off
	 */
	public synchronized boolean isCutOff() {
		return this.outsideSilent && this.unansweredProbeMillis != NONE
				&& this.clock.millis() - this.unansweredProbeMillis >= PROBE_TIMEOUT_MILLIS;
	}

}
