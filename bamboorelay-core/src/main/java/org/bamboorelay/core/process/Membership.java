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
 * Decides from heartbeats which entry hosts are alive. A host is not alive before its
 * first heartbeat. When more than half of the peers turn suspect within one second, the
 * node doubts itself and declares nobody dead until at least half are heard again.
 * <p>
 * Not thread-safe.
 */
public final class Membership {

	/** Silence after which a peer is suspect, in milliseconds. */
	public static final long SUSPECT_MILLIS = 2_000;

	/** Silence after which a peer is dead, in milliseconds. */
	public static final long DEAD_MILLIS = 4_000;

	private static final long DOUBT_WINDOW_MILLIS = 1_000;

	private final HostId self;

	private final FailureDomain selfDomain;

	private final Map<HostId, Peer> peers = new HashMap<>();

	private boolean doubting;

	private boolean leaving;

	private Membership(HostId self, FailureDomain selfDomain) {
		this.self = self;
		this.selfDomain = selfDomain;
	}

	/**
	 * Creates the membership as seen by one host.
	 * @param self the host
	 * @param selfDomain its failure domain
	 * @return a membership in which only the host itself is alive
	 */
	public static Membership of(HostId self, FailureDomain selfDomain) {
		return new Membership(self, selfDomain);
	}

	/**
	 * Tells whether this node counts as cut off because most peers fell silent at once.
	 * @return whether it doubts itself
	 */
	public boolean isDoubting() {
		return this.doubting;
	}

	/**
	 * Returns the peers and their states.
	 * @return the states by host, this one left out
	 */
	public Map<HostId, State> states() {
		Map<HostId, State> states = new TreeMap<>();
		this.peers.forEach((host, peer) -> states.put(host, peer.state));
		return states;
	}

	/**
	 * Returns the hosts that are not dead and not leaving.
	 * @return the hosts, this one included unless it leaves
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
	 * Tells whether a host of each given failure domain is heard. Where none but this
	 * host's own is given, a host of any other domain must be heard: a deployment that
	 * hears no other domain cannot tell an outage of the store from a cut.
	 * @param domains the failure domains; this host's own counts as heard
	 * @return false where a domain is silent or this node doubts itself
	 */
	public boolean hears(Set<FailureDomain> domains) {
		if (this.doubting) {
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
	 * Notes that this host leaves.
	 */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Takes a heartbeat.
	 * @param host the sender
	 * @param domain its failure domain
	 * @param peerLeaving whether it leaves; counts at once
	 * @param nowMillis the time, in milliseconds
	 */
	public void heartbeat(HostId host, FailureDomain domain, boolean peerLeaving, long nowMillis) {
		if (host.equals(this.self)) {
			return;
		}
		Peer peer = this.peers.computeIfAbsent(host, (unused) -> new Peer(domain));
		peer.domain = domain;
		peer.lastHeardMillis = nowMillis;
		peer.state = peerLeaving ? State.LEAVING : State.ALIVE;
	}

	/**
	 * Forgets a host that is no longer in the inventory.
	 * @param host the host
	 */
	public void remove(HostId host) {
		this.peers.remove(host);
	}

	/**
	 * Updates the states from the time that passed.
	 * @param nowMillis the time, in milliseconds
	 */
	public void tick(long nowMillis) {
		int turned = 0;
		int silent = 0;
		for (Peer peer : this.peers.values()) {
			boolean quiet = nowMillis - peer.lastHeardMillis >= SUSPECT_MILLIS;
			if (quiet && peer.state == State.ALIVE) {
				peer.state = State.SUSPECT;
				peer.suspectSinceMillis = nowMillis;
			}
			silent += (peer.state == State.SUSPECT) ? 1 : 0;
			turned += (peer.state == State.SUSPECT && nowMillis - peer.suspectSinceMillis < DOUBT_WINDOW_MILLIS) ? 1
					: 0;
		}
		int counted = (int) this.peers.values()
			.stream()
			.filter((peer) -> peer.state == State.ALIVE || peer.state == State.SUSPECT)
			.count();
		if (turned * 2 > counted) {
			this.doubting = true;
		}
		else if (this.doubting && silent * 2 <= counted) {
			this.doubting = false;
		}
		this.peers.values().forEach((peer) -> {
			if (nowMillis - peer.lastHeardMillis >= DEAD_MILLIS
					&& (peer.state == State.LEAVING || (peer.state == State.SUSPECT && !this.doubting))) {
				peer.state = State.DEAD;
			}
		});
	}

	/**
	 * State of a peer.
	 */
	public enum State {

		/** Heard within {@link #SUSPECT_MILLIS}. */
		ALIVE,

		/** Silent for {@link #SUSPECT_MILLIS}; still a member. */
		SUSPECT,

		/** Silent for {@link #DEAD_MILLIS}. */
		DEAD,

		/** Shuts down, and must get nothing new. */
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
