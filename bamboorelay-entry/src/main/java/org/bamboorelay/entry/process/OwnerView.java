package org.bamboorelay.entry.process;

import org.bamboorelay.core.version.HostId;

/**
 * What a host knows of the free credits of another owner.
 * <p>
 * Guarded by the lock of its {@link CreditShard}.
 */
final class OwnerView {

	/**
	 * How long an owner that refused is not asked again, in milliseconds. Doubles with
	 * each further refusal up to {@link #LONGEST_PAUSE_MILLIS}, as a full service would
	 * otherwise be asked by each host many times a second.
	 */
	static final long REFUSED_PAUSE_MILLIS = 50;

	static final long LONGEST_PAUSE_MILLIS = 1_000;

	final HostId host;

	final boolean sameDomain;

	/** An owner of which nothing is known yet is asked for one credit. */
	int freeInteractive = 1;

	int freeRollout = 1;

	/** When an owner without known free credits is asked again, in milliseconds. */
	long probeMillis = Long.MIN_VALUE;

	int steady;

	long pauseMillis = REFUSED_PAUSE_MILLIS;

	OwnerView(HostId host, boolean sameDomain) {
		this.host = host;
		this.sameDomain = sameDomain;
	}

	int free(boolean interactive) {
		return interactive ? this.freeInteractive : this.freeRollout;
	}

	void refused(boolean interactive, long now, long leastMillis) {
		this.freeInteractive = interactive ? 0 : this.freeInteractive;
		this.freeRollout = 0;
		this.probeMillis = now + Math.max(this.pauseMillis, leastMillis);
		this.pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, 2 * this.pauseMillis);
	}

	/**
	 * Notes that a full owner keeps its next free credit for another host.
	 * @param atMillis when it is asked again, in milliseconds
	 */
	void promised(long atMillis) {
		this.freeInteractive = 0;
		this.freeRollout = 0;
		this.probeMillis = atMillis;
		this.pauseMillis = REFUSED_PAUSE_MILLIS;
	}

	void granted(boolean interactive) {
		this.pauseMillis = REFUSED_PAUSE_MILLIS;
		this.freeInteractive = Math.max(1, this.freeInteractive);
		this.freeRollout = Math.max(interactive ? 0 : 1, this.freeRollout);
	}

	void probe(long now) {
		if (this.probeMillis != Long.MIN_VALUE && now >= this.probeMillis) {
			this.freeInteractive = Math.max(1, this.freeInteractive);
			this.freeRollout = Math.max(1, this.freeRollout);
			this.probeMillis = Long.MIN_VALUE;
		}
	}

}
