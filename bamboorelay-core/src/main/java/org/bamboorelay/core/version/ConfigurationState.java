package org.bamboorelay.core.version;

import java.util.NavigableMap;
import java.util.TreeMap;

import io.vavr.control.Option;

/**
 * Decides which configuration a node holds and which one is active. A version becomes active as soon as a second node of the failure domain holds it, or after {@value #SETTLE_MILLIS} ms. It is never replaced by an older version.
 * <p>
 * Not thread-safe.
 */
public final class ConfigurationState {

	/**
	 * Time after which a version becomes active without a second holder, in milliseconds.
	 */
	public static final long SETTLE_MILLIS = 500;

	/**
	 * Maximum number of pending versions; bounds the memory if versions arrive faster than they settle. When it is reached, the newest pending version is replaced rather than the oldest one, so that frequent changes cannot defer the activation indefinitely.
	 */
	private static final int MAX_PENDING = 8;

	private final NavigableMap<Long, Pending> pending = new TreeMap<>();

	private Option<Configuration> held = Option.none();

	private Option<Configuration> inForce = Option.none();

	private long heldByPeer;

	/**
	 * Returns the accepted configuration with the highest version.
	 * @return the configuration, or none before the first one
	 */
	public Option<Configuration> held() {
		return this.held;
	}

	/**
	 * Returns the active configuration.
	 * @return the configuration, or none before the first one
	 */
	public Option<Configuration> inForce() {
		return this.inForce;
	}

	/**
	 * Returns the highest accepted version.
	 * @return the version, or 0 if there is none
	 */
	public long heldVersion() {
		return this.held.map(Configuration::version).getOrElse(0L);
	}

	/**
	 * Accepts a configuration from the store, a peer or a control process if it is newer than the held one.
	 * @param configuration the configuration
	 * @param nowMillis the time, in milliseconds
	 * @return true if it was newer
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
	 * Records that another node of the same failure domain holds a version.
	 * @param version the version
	 */
	public void peerHolds(long version) {
		this.heldByPeer = Math.max(this.heldByPeer, version);
	}

	/**
	 * Activates the highest version that has settled.
	 * @param nowMillis the time, in milliseconds
	 * @return the configuration that this call activated, if any
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
