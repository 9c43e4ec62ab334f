package org.bamboorelay.entry.connection;

import java.util.concurrent.atomic.AtomicBoolean;

import org.bamboorelay.core.version.HostId;
import org.bamboorelay.runtime.connection.PeerLink;
import org.jspecify.annotations.Nullable;

/**
 * A peer address that the mesh connects to, with its link and the state of connection
 * attempts.
 * <p>
 * Thread-safe. Each field is read and written independently.
 */
final class Peer {

	static final long MIN_BACKOFF_MILLIS = 100;

	final String address;

	final AtomicBoolean connecting = new AtomicBoolean();

	final AtomicBoolean sending = new AtomicBoolean();

	volatile @Nullable PeerLink link;

	volatile @Nullable HostId host;

	volatile boolean isSelf;

	volatile boolean initialExchangeDone;

	volatile long nextAttemptMillis;

	volatile long backoffMillis = MIN_BACKOFF_MILLIS;

	Peer(String address) {
		this.address = address;
	}

}
