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
 * The addresses that a host connects to, and the links that it accepted.
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

	void forget(HostId host) {
		this.accepted.remove(host);
	}

	/**
	 * Closes the links to all other addresses.
	 * @param addresses {@code ip:port} of the peers that stay
	 */
	void keep(Set<String> addresses) {
		this.peers.values().removeIf((peer) -> {
			PeerLink link = peer.link;
			boolean gone = !addresses.contains(peer.address);
			if (gone && link != null) {
				link.close();
			}
			return gone;
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
	 * Returns an open link to each host that has one.
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

	// Counts open links only, so the value falls when a link ends.
	long bytesSent() {
		long sent = this.accepted.values().stream().filter(PeerLink::isOpen).mapToLong(PeerLink::bytesOut).sum();
		for (Peer peer : this.peers.values()) {
			PeerLink link = peer.link;
			sent += (link != null && link.isOpen()) ? link.bytesOut() : 0;
		}
		return sent;
	}

}
