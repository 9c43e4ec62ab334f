package org.bamboorelay.core.version;

import java.util.NavigableMap;
import java.util.TreeMap;

import io.vavr.control.Option;

/**
 * Decides which configuration a node holds and which one is active. A version becomes
 * active as soon as a second node of the failure domain holds it, or after
 * {@value #SETTLE_MILLIS} ms. It is never replaced by an older version.
 * <p>
 * Not thread-safe.
 */
public final class ConfigurationState {

	/**
	 * Time after which a version becomes active without a second holder, in milliseconds.
	 */
	public static final long SETTLE_MILLIS = 500;

	/**
	 * Maximum number of pending versions; bounds the memory if versions arrive faster
	 * than they settle. When it is reached, the newest pending version is replaced rather
	 * than the oldest one, so that frequent changes cannot defer the activation
	 * indefinitely.
	 */
	private static final int MAX_PENDING = 8;

	private final NavigableMap<Long, PendingConfiguration> pending = new TreeMap<>();

	private Option<Configuration> held = Option.none();

	private Option<Configuration> active = Option.none();

	private long highestPeerVersion;

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
	public Option<Configuration> active() {
		return this.active;
	}

	/**
	 * Returns the highest accepted version.
	 * @return the version, or 0 if there is none
	 */
	public long heldVersion() {
		return this.held.map(Configuration::version).getOrElse(0L);
	}

	/**
	 * Accepts a configuration from the store, a peer or a control process if it is newer
	 * than the held one.
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
		this.pending.put(configuration.version(), new PendingConfiguration(configuration, nowMillis));
		return true;
	}

	/**
	 * Records that another node of the same failure domain holds a version.
	 * @param version the version
	 */
	public void recordPeerVersion(long version) {
		this.highestPeerVersion = Math.max(this.highestPeerVersion, version);
	}

	/**
	 * Activates the highest version that has settled.
	 * @param nowMillis the time, in milliseconds
	 * @return the configuration that this call activated, if any
	 */
	public Option<Configuration> activateSettled(long nowMillis) {
		for (PendingConfiguration candidate : this.pending.descendingMap().values()) {
			long version = candidate.configuration().version();
			if (version <= this.highestPeerVersion || nowMillis - candidate.receivedMillis() >= SETTLE_MILLIS) {
				this.active = Option.some(candidate.configuration());
				this.pending.headMap(version, true).clear();
				return this.active;
			}
		}
		return Option.none();
	}

	private record PendingConfiguration(Configuration configuration, long receivedMillis) {
	}

}
