package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;

/**
 * Detects from heartbeats which entry hosts are alive. A host is not alive before its
 * first heartbeat. When more than half of the peers become suspect within one second,
 * this host assumes that it is itself partitioned from the others or was paused, and
 * declares no suspect peer dead until at least half of the peers are heard again.
 * <p>
 * Not thread-safe.
 */
public final class Membership {

	/** Time without a heartbeat after which a peer is suspect, in milliseconds. */
	public static final long SUSPECT_AFTER_MILLIS = 2_000;

	/** Time without a heartbeat after which a peer is dead, in milliseconds. */
	public static final long DEAD_AFTER_MILLIS = 4_000;

	private static final long PARTITION_WINDOW_MILLIS = 1_000;

	private final HostId self;

	private final FailureDomain selfDomain;

	private final Map<HostId, Peer> peers = new HashMap<>();

	private boolean partitionSuspected;

	private boolean leaving;

	private Membership(HostId self, FailureDomain selfDomain) {
		this.self = self;
		this.selfDomain = selfDomain;
	}

	/**
	 * Creates the membership view of a host.
	 * @param self the host
	 * @param selfDomain its failure domain
	 * @return a view in which only the host itself is alive
	 */
	public static Membership of(HostId self, FailureDomain selfDomain) {
		return new Membership(self, selfDomain);
	}

	/**
	 * Tells whether this host assumes that it is partitioned from the others, since most
	 * peers became suspect at once.
	 * @return whether a partition is suspected
	 */
	public boolean isPartitionSuspected() {
		return this.partitionSuspected;
	}

	/**
	 * Returns the peers and their states.
	 * @return the states by host, without this host
	 */
	public Map<HostId, State> states() {
		Map<HostId, State> states = new TreeMap<>();
		this.peers.forEach((host, peer) -> states.put(host, peer.state));
		return states;
	}

	/**
	 * Returns the hosts that are not dead and not leaving.
	 * @return the hosts, including this host unless it is leaving
	 */
	public Set<HostId> live() {
		Set<HostId> live = new TreeSet<>();
		if (!this.leaving) {
			live.add(this.self);
		}
		this.peers.forEach((host, peer) -> {
			if (peer.state == State.ALIVE || peer.state == State.SUSPECT) {
				live.add(host);
			}
		});
		return live;
	}

	/**
	 * Tells whether at least one host of each given failure domain is heard. If only this
	 * host's own domain is given, a host of any other domain must be heard, since a
	 * domain that hears no other one cannot distinguish an outage of the store from a
	 * network partition.
	 * @param domains the failure domains; this host's own always counts as heard
	 * @return false if a domain is not heard or a partition is suspected
	 */
	public boolean hearsAll(Set<FailureDomain> domains) {
		if (this.partitionSuspected) {
			return false;
		}
		Set<FailureDomain> heard = heardDomains();
		boolean onlyOwn = domains.stream().allMatch(this.selfDomain::equals);
		if (onlyOwn) {
			return !heard.isEmpty();
		}
		return domains.stream().allMatch((domain) -> domain.equals(this.selfDomain) || heard.contains(domain));
	}

	private Set<FailureDomain> heardDomains() {
		Set<FailureDomain> heard = new HashSet<>();
		for (Peer peer : this.peers.values()) {
			if (!peer.domain.equals(this.selfDomain) && (peer.state == State.ALIVE || peer.state == State.LEAVING)) {
				heard.add(peer.domain);
			}
		}
		return heard;
	}

	/**
	 * Marks this host as leaving.
	 */
	public void markLeaving() {
		this.leaving = true;
	}

	/**
	 * Processes a heartbeat.
	 * @param host the sender
	 * @param domain the failure domain of the sender
	 * @param peerLeaving whether the sender is leaving; takes effect at once
	 * @param nowMillis the current monotonic time, in milliseconds
	 */
	public void onHeartbeat(HostId host, FailureDomain domain, boolean peerLeaving, long nowMillis) {
		if (host.equals(this.self)) {
			return;
		}
		Peer peer = this.peers.computeIfAbsent(host, (unused) -> new Peer(domain));
		peer.domain = domain;
		peer.lastHeardMillis = nowMillis;
		peer.state = peerLeaving ? State.LEAVING : State.ALIVE;
	}

	/**
	 * Removes a host that is no longer in the inventory.
	 * @param host the host
	 */
	public void remove(HostId host) {
		this.peers.remove(host);
	}

	/**
	 * Updates the states of the peers as time passes.
	 * @param nowMillis the current monotonic time, in milliseconds
	 */
	public void tick(long nowMillis) {
		int newlySuspect = 0;
		int suspects = 0;
		for (Peer peer : this.peers.values()) {
			boolean timedOut = nowMillis - peer.lastHeardMillis >= SUSPECT_AFTER_MILLIS;
			if (timedOut && peer.state == State.ALIVE) {
				peer.state = State.SUSPECT;
				peer.suspectSinceMillis = nowMillis;
			}
			suspects += (peer.state == State.SUSPECT) ? 1 : 0;
			newlySuspect += (peer.state == State.SUSPECT
					&& nowMillis - peer.suspectSinceMillis < PARTITION_WINDOW_MILLIS) ? 1 : 0;
		}
		int livePeers = (int) this.peers.values()
			.stream()
			.filter((peer) -> peer.state == State.ALIVE || peer.state == State.SUSPECT)
			.count();
		if (newlySuspect * 2 > livePeers) {
			this.partitionSuspected = true;
		}
		else if (this.partitionSuspected && suspects * 2 <= livePeers) {
			this.partitionSuspected = false;
		}
		this.peers.values().forEach((peer) -> {
			if (nowMillis - peer.lastHeardMillis >= DEAD_AFTER_MILLIS
					&& (peer.state == State.LEAVING || (peer.state == State.SUSPECT && !this.partitionSuspected))) {
				peer.state = State.DEAD;
			}
		});
	}

	/**
	 * State of a peer.
	 */
	public enum State {

		/** Heard within {@link #SUSPECT_AFTER_MILLIS}. */
		ALIVE,

		/** Not heard for {@link #SUSPECT_AFTER_MILLIS}; still counts as live. */
		SUSPECT,

		/** Not heard for {@link #DEAD_AFTER_MILLIS}. */
		DEAD,

		/** Shutting down; must not get new work. */
		LEAVING

	}

	private static final class Peer {

		private FailureDomain domain;

		private State state = State.ALIVE;

		private long lastHeardMillis;

		private long suspectSinceMillis;

		private Peer(FailureDomain domain) {
			this.domain = domain;
		}

	}

}
