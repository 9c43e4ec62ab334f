package org.bamboorelay.core.version;

import java.util.NavigableMap;
import java.util.TreeMap;

import io.vavr.control.Option;

/**
 * Decides which configuration is held and which is in force at a node. Versions only
 * rise. A version is in force when a second node of the failure domain holds it or after
 * {@value #SETTLE_MILLIS} ms, and is never replaced by an older one.
 * <p>
 * Not thread-safe.
 */
public final class ConfigurationState {

	/**
	 * Wait before a version is in force without a second holder, in milliseconds.
	 */
	public static final long SETTLE_MILLIS = 500;

	/**
	 * Bounds memory when versions arrive faster than they settle. The oldest entry is
	 * kept, so that fast changes cannot defer every version.
	 */
	private static final int MAX_PENDING = 8;

	private final NavigableMap<Long, Pending> pending = new TreeMap<>();

	private Option<Configuration> held = Option.none();

	private Option<Configuration> inForce = Option.none();

	private long heldByPeer;

	/**
	 * Returns the highest configuration that was seen.
	 * @return the configuration, or nothing before the first one
	 */
	public Option<Configuration> held() {
		return this.held;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or nothing before the first one
	 */
	public Option<Configuration> inForce() {
		return this.inForce;
	}

	/**
	 * Returns the highest version that was seen.
	 * @return the version; 0 for none
	 */
	public long heldVersion() {
		return this.held.map(Configuration::version).getOrElse(0L);
	}

	/**
	 * Takes a configuration from the store, a peer or a control process.
	 * @param configuration the configuration
	 * @param nowMillis the time, in milliseconds
	 * @return whether it is newer than all before
	 */
	public boolean accept(Configuration configuration, long nowMillis) {
		if (configuration.version() <= heldVersion()) {
			return false;
		}
		this.held = Option.some(configuration);
		if (this.pending.size() >= MAX_PENDING) {
			this.pending.pollLastEntry();
		}
		this.pending.put(configuration.version(), new Pending(configuration, nowMillis));
		return true;
	}

	/**
	 * Notes that another node of the same failure domain holds a version.
	 * @param version the version
	 */
	public void peerHolds(long version) {
		this.heldByPeer = Math.max(this.heldByPeer, version);
	}

	/**
	 * Puts the highest settled version in force.
	 * @param nowMillis the time, in milliseconds
	 * @return the configuration that came in force by this call, if any
	 */
	public Option<Configuration> settle(long nowMillis) {
		for (Pending candidate : this.pending.descendingMap().values()) {
			long version = candidate.configuration().version();
			if (version <= this.heldByPeer || nowMillis - candidate.sinceMillis() >= SETTLE_MILLIS) {
				this.inForce = Option.some(candidate.configuration());
				this.pending.headMap(version, true).clear();
				return this.inForce;
			}
		}
		return Option.none();
	}

	private record Pending(Configuration configuration, long sinceMillis) {
	}

}
