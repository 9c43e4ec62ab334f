package org.bamboorelay.core.scenario;

import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;

/**
 * A simulated entry or control process, which can be frozen, killed and restarted.
 */
final class SimulatedProcess {

	final HostId host;

	final FailureDomain domain;

	/** Incremented when the process is killed. */
	int incarnation;

	boolean alive = true;

	long frozenUntil;

	/** Delay of pending messages after the end of a freeze, in milliseconds. */
	long wakeDelayMillis;

	/**
	 * The time since which the process has been able to reach the store, directly or
	 * through other processes; negative if it cannot.
	 */
	long connectedSince = -1;

	SimulatedProcess(HostId host, FailureDomain domain) {
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
