package org.bamboorelay.core.scenario;

import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;

/**
 * The process on one entry host, which can be frozen, killed and started again.
 */
final class SimProcess {

	final HostId host;

	final FailureDomain domain;

	int incarnation;

	boolean alive = true;

	long frozenUntil;

	/** How long after the end of a freeze messages are read, in milliseconds. */
	long wakeMillis;

	/** Since when it has reached the store over some chain; negative for not. */
	long connectedSince = -1;

	SimProcess(HostId host, FailureDomain domain) {
		this.host = host;
		this.domain = domain;
	}

	boolean isRunning(long now) {
		return this.alive && this.frozenUntil <= now;
	}

	String name() {
		return this.host + "#" + this.incarnation;
	}

	@Override
	public String toString() {
		return name();
	}

}
