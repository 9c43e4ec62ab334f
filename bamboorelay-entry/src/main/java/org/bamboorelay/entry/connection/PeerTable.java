package org.bamboorelay.entry.connection;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import org.bamboorelay.core.version.HostId;
import org.bamboorelay.runtime.connection.PeerLink;
import org.jspecify.annotations.Nullable;

/**
 * The peer addresses that a host connects to, and the links that it has accepted.
 * <p>
 * Thread-safe.
 */
final class PeerTable {

	private final Map<String, Peer> peers = new ConcurrentHashMap<>();

	private final Map<HostId, PeerLink> accepted = new ConcurrentHashMap<>();

	void add(String address) {
		this.peers.computeIfAbsent(address, Peer::new);
	}

	Collection<Peer> all() {
		return this.peers.values();
	}

	void accept(PeerLink link) {
		this.accepted.put(link.remote().host(), link);
	}

	void removeAccepted(HostId host) {
		this.accepted.remove(host);
	}

	/**
	 * Removes all other addresses and closes their links.
	 * @param addresses {@code ip:port} of the peers to retain
	 */
	void retainOnly(Set<String> addresses) {
		this.peers.values().removeIf((peer) -> {
			PeerLink link = peer.link;
			boolean removed = !addresses.contains(peer.address);
			if (removed && link != null) {
				link.close();
			}
			return removed;
		});
	}

	@Nullable PeerLink link(HostId host) {
		for (Peer peer : this.peers.values()) {
			PeerLink link = peer.link;
			if (host.equals(peer.host) && link != null && link.isOpen()) {
				return link;
			}
		}
		PeerLink link = this.accepted.get(host);
		return (link != null && link.isOpen()) ? link : null;
	}

	/**
	 * Returns one open link to each connected host.
	 * @return the links, ordered by host
	 */
	List<PeerLink> links() {
		Map<HostId, PeerLink> open = new TreeMap<>();
		this.accepted.forEach((host, link) -> {
			if (link.isOpen()) {
				open.put(host, link);
			}
		});
		this.peers.values().forEach((peer) -> {
			PeerLink link = peer.link;
			if (link != null && link.isOpen()) {
				open.put(link.remote().host(), link);
			}
		});
		return List.copyOf(open.values());
	}

	// Includes open links only, so the value decreases when a link is closed.
	long bytesSent() {
		long sent = this.accepted.values().stream().filter(PeerLink::isOpen).mapToLong(PeerLink::bytesSent).sum();
		for (Peer peer : this.peers.values()) {
			PeerLink link = peer.link;
			sent += (link != null && link.isOpen()) ? link.bytesSent() : 0;
		}
		return sent;
	}

}
