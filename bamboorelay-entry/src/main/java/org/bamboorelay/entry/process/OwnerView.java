package org.bamboorelay.entry.process;

import org.bamboorelay.core.version.HostId;

/**
 * The free credits of another owner, as known to this host.
 * <p>
 * Guarded by the lock of its {@link CreditShard}.
 */
final class OwnerView {

	/**
	 * Delay before the next credit request to an owner that refused one, in milliseconds.
	 * Doubles with each further refusal up to {@link #MAX_BACKOFF_MILLIS}, as each host
	 * would otherwise send many requests a second to the owners of a saturated service.
	 */
	static final long MIN_BACKOFF_MILLIS = 50;

	static final long MAX_BACKOFF_MILLIS = 1_000;

	final HostId host;

	final boolean sameDomain;

	/**
	 * Starts at 1, so that one credit is requested from an owner that has sent no digest
	 * yet.
	 */
	int freeInteractive = 1;

	int freeRollout = 1;

	/**
	 * Time of the next credit request to an owner without known free credits, in
	 * milliseconds.
	 */
	long nextProbeMillis = Long.MIN_VALUE;

	int steadyEndpoints;

	long backoffMillis = MIN_BACKOFF_MILLIS;

	OwnerView(HostId host, boolean sameDomain) {
		this.host = host;
		this.sameDomain = sameDomain;
	}

	int free(boolean interactive) {
		return interactive ? this.freeInteractive : this.freeRollout;
	}

	void refused(boolean interactive, long now, long minBackoffMillis) {
		this.freeInteractive = interactive ? 0 : this.freeInteractive;
		this.freeRollout = 0;
		this.nextProbeMillis = now + Math.max(this.backoffMillis, minBackoffMillis);
		this.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * this.backoffMillis);
	}

	/**
	 * Records that an owner without free credits reserves its next one for this host.
	 * @param retryAtMillis time of the next credit request, in milliseconds
	 */
	void reserved(long retryAtMillis) {
		this.freeInteractive = 0;
		this.freeRollout = 0;
		this.nextProbeMillis = retryAtMillis;
		this.backoffMillis = MIN_BACKOFF_MILLIS;
	}

	void granted(boolean interactive) {
		this.backoffMillis = MIN_BACKOFF_MILLIS;
		this.freeInteractive = Math.max(1, this.freeInteractive);
		this.freeRollout = Math.max(interactive ? 0 : 1, this.freeRollout);
	}

	void probeIfDue(long now) {
		if (this.nextProbeMillis != Long.MIN_VALUE && now >= this.nextProbeMillis) {
			this.freeInteractive = Math.max(1, this.freeInteractive);
			this.freeRollout = Math.max(1, this.freeRollout);
			this.nextProbeMillis = Long.MIN_VALUE;
		}
	}

}
