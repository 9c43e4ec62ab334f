package org.bamboorelay.core.connection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import org.bamboorelay.core.connection.PeerMessage.Hello;
import org.bamboorelay.core.connection.PeerMessage.WithdrawnDelta;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.WithdrawnKeys;
import org.jspecify.annotations.Nullable;

/**
 * Anti-entropy protocol that keeps the sets of withdrawn keys of all peers equal. If two
 * sets are equal, one digest is sent in each direction. If they differ, a process
 * requests the hashes after the last one that it received from the peer's incarnation; it
 * requests the complete set only from an incarnation that it does not know. Complete sets
 * are never pushed, so that each process can limit how many it receives concurrently.
 * <p>
 * Thread-safe. Exchanges with one peer may run concurrently.
 */
public final class WithdrawalSync {

	/** Value of {@link WithdrawnDelta#after()} that requests the digest only. */
	public static final int DIGEST_ONLY = -1;

	private static final int UNKNOWN_POSITION = -1;

	private final WithdrawnKeys keys;

	private final Map<HostId, Cursor> cursors = new ConcurrentHashMap<>();

	private WithdrawalSync(WithdrawnKeys keys) {
		this.keys = Objects.requireNonNull(keys, "keys");
	}

	/**
	 * Creates the synchronization of a process.
	 * @param keys the withdrawn keys of the process
	 * @return the synchronization
	 */
	public static WithdrawalSync over(WithdrawnKeys keys) {
		return new WithdrawalSync(keys);
	}

	/**
	 * Creates the next request to a peer.
	 * @param peer the peer
	 * @param pushedHashes hashes to push in any case, which must already be in the local
	 * set
	 * @return the request
	 */
	public SyncRequest request(Hello peer, Collection<KeyHash> pushedHashes) {
		Cursor cursor = cursor(this.cursors.get(peer.host()), peer);
		boolean known = cursor.sentPosition() != UNKNOWN_POSITION;
		WithdrawnKeys.Delta local = known ? this.keys.deltaAfter(cursor.sentPosition()) : this.keys.digest();
		List<KeyHash> sent = new ArrayList<>(local.keys());
		pushedHashes.stream().filter((key) -> !sent.contains(key)).forEach(sent::add);
		return new SyncRequest(new WithdrawnDelta(local.count(), local.hash(), cursor.receivedPosition(), sent),
				known ? local.count() : UNKNOWN_POSITION);
	}

	/**
	 * Creates a request for the complete set of a peer. The response contains no hashes
	 * if the sets have become equal.
	 * @return the request
	 */
	public SyncRequest fullRequest() {
		WithdrawnKeys.Delta local = this.keys.digest();
		return new SyncRequest(new WithdrawnDelta(local.count(), local.hash(), 0, List.of()), UNKNOWN_POSITION);
	}

	/**
	 * Processes the response to a request.
	 * @param peer the peer
	 * @param request the request
	 * @param response the response
	 * @return the next step
	 */
	public NextStep onResponse(Hello peer, SyncRequest request, WithdrawnDelta response) {
		this.keys.add(response.keys());
		WithdrawnKeys.Delta local = this.keys.digest();
		if (local.count() == response.count() && local.hash() == response.hash()) {
			advance(peer, response.count(), local.count());
			return NextStep.DONE;
		}
		int after = request.message().after();
		if (after == DIGEST_ONLY) {
			return NextStep.FULL_REQUEST;
		}
		if (local.count() <= response.count()) {
			// If the local set contained all hashes of the peer it would be the larger
			// one, because the sets differ. The recorded position must therefore be
			// wrong.
			this.cursors.remove(peer.host());
			return NextStep.FULL_REQUEST;
		}
		advance(peer, response.count(), request.sentPosition());
		return (after == response.count()) ? NextStep.DONE : NextStep.REQUEST;
	}

	/**
	 * Processes the request of a peer.
	 * @param request the request
	 * @return the response
	 */
	public SyncResponse response(WithdrawnDelta request) {
		int previousSize = this.keys.size();
		this.keys.add(request.keys());
		WithdrawnKeys.Delta local = this.keys.digest();
		boolean equal = local.count() == request.count() && local.hash() == request.hash();
		if (!equal && request.after() != DIGEST_ONLY) {
			// A position outside the set stems from another incarnation of this
			// process; the complete set is returned.
			local = this.keys
				.deltaAfter((request.after() >= 0 && request.after() <= local.count()) ? request.after() : 0);
		}
		// The peer already held all local hashes, and its set still differs.
		boolean lacking = !equal && request.after() == previousSize;
		return new SyncResponse(new WithdrawnDelta(local.count(), local.hash(), DIGEST_ONLY, local.keys()), lacking);
	}

	private static Cursor cursor(@Nullable Cursor known, Hello peer) {
		return (known != null && known.incarnation().equals(peer.incarnation())) ? known
				: new Cursor(peer.incarnation(), UNKNOWN_POSITION, UNKNOWN_POSITION);
	}

	private void advance(Hello peer, int receivedPosition, int sentPosition) {
		this.cursors.compute(peer.host(), (host, existing) -> {
			Cursor known = cursor(existing, peer);
			return new Cursor(peer.incarnation(), Math.max(known.receivedPosition(), receivedPosition),
					Math.max(known.sentPosition(), sentPosition));
		});
	}

	/** Next step after a response. */
	public enum NextStep {

		/** None: the sets are equal, or the peer was notified that they differ. */
		DONE,

		/** Send another {@link WithdrawalSync#request}. */
		REQUEST,

		/** Send {@link WithdrawalSync#fullRequest}. */
		FULL_REQUEST

	}

	/**
	 * A request.
	 *
	 * @param message the message to send
	 * @param sentPosition number of the last local hash that the peer holds once it has
	 * responded; -1 if unknown
	 */
	public record SyncRequest(WithdrawnDelta message, int sentPosition) {
	}

	/**
	 * A response.
	 *
	 * @param response the message to send
	 * @param peerHasMore whether the peer holds hashes that are missing here, so that a
	 * request must be sent to it
	 */
	public record SyncResponse(WithdrawnDelta response, boolean peerHasMore) {
	}

	/**
	 * Positions up to which two sets were synchronized.
	 *
	 * @param incarnation the incarnation of the peer
	 * @param receivedPosition number of the peer's last hash that is held here
	 * @param sentPosition number of the last local hash that the peer holds
	 */
	private record Cursor(String incarnation, int receivedPosition, int sentPosition) {
	}

}
