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
 * Decides what to exchange with peers so that all hold the same withdrawn keys. Equal
 * sets cost a digest in each direction. Where they differ, a process pulls the hashes
 * above the number that it last held of the peer's incarnation, and the whole set only of
 * an incarnation that it does not know. Whole sets are never pushed, so that each process
 * limits how many it receives at the same time.
 * <p>
 * Thread-safe. Exchanges with one peer may run at the same time.
 */
public final class WithdrawalSync {

	/** Value of {@link WithdrawnDelta#after()} that asks for the digest only. */
	public static final int DIGEST_ONLY = -1;

	private static final int UNKNOWN = -1;

	private final WithdrawnKeys keys;

	private final Map<HostId, Cursor> cursors = new ConcurrentHashMap<>();

	private WithdrawalSync(WithdrawnKeys keys) {
		this.keys = Objects.requireNonNull(keys, "keys");
	}

	/**
	 * Creates the exchange of a process.
	 * @param keys its withdrawn keys
	 * @return the exchange
	 */
	public static WithdrawalSync over(WithdrawnKeys keys) {
		return new WithdrawalSync(keys);
	}

	/**
	 * Returns the next request to a peer.
	 * @param peer the peer
	 * @param fresh hashes to send in any case; they must be in the own set
	 * @return the request
	 */
	public Ask request(Hello peer, Collection<KeyHash> fresh) {
		Cursor cursor = cursor(this.cursors.get(peer.host()), peer);
		boolean known = cursor.given() != UNKNOWN;
		WithdrawnKeys.Part own = known ? this.keys.above(cursor.given()) : this.keys.digest();
		List<KeyHash> sent = new ArrayList<>(own.keys());
		fresh.stream().filter((key) -> !sent.contains(key)).forEach(sent::add);
		return new Ask(new WithdrawnDelta(own.count(), own.hash(), cursor.taken(), sent),
				known ? own.count() : UNKNOWN);
	}

	/**
	 * Returns a request for the whole set of a peer.
	 * @return the request; answered without hashes where the sets have become equal
	 */
	public Ask pull() {
		WithdrawnKeys.Part own = this.keys.digest();
		return new Ask(new WithdrawnDelta(own.count(), own.hash(), 0, List.of()), UNKNOWN);
	}

	/**
	 * Takes the answer to a request.
	 * @param peer the peer
	 * @param request the request
	 * @param answer its answer
	 * @return what to do next
	 */
	public Next onAnswer(Hello peer, Ask request, WithdrawnDelta answer) {
		this.keys.add(answer.keys());
		WithdrawnKeys.Part own = this.keys.digest();
		if (own.count() == answer.count() && own.hash() == answer.hash()) {
			advance(peer, answer.count(), own.count());
			return Next.NOTHING;
		}
		int after = request.message().after();
		if (after == DIGEST_ONLY) {
			return Next.PULL;
		}
		if (own.count() <= answer.count()) {
			// A set that contains the peer's and differs from it is larger, so the number
			// that was taken is wrong.
			this.cursors.remove(peer.host());
			return Next.PULL;
		}
		advance(peer, answer.count(), request.given());
		return (after == answer.count()) ? Next.NOTHING : Next.REQUEST;
	}

	/**
	 * Answers the request of a peer.
	 * @param request the request
	 * @return the answer
	 */
	public Reply answer(WithdrawnDelta request) {
		int before = this.keys.size();
		this.keys.add(request.keys());
		WithdrawnKeys.Part own = this.keys.digest();
		boolean same = own.count() == request.count() && own.hash() == request.hash();
		if (!same && request.after() != DIGEST_ONLY) {
			// A number of another incarnation is answered by the whole set.
			own = this.keys.above((request.after() >= 0 && request.after() <= own.count()) ? request.after() : 0);
		}
		// The peer holds all that is here, and its set still differs.
		boolean lacking = !same && request.after() == before;
		return new Reply(new WithdrawnDelta(own.count(), own.hash(), DIGEST_ONLY, own.keys()), lacking);
	}

	private static Cursor cursor(@Nullable Cursor known, Hello peer) {
		return (known != null && known.incarnation().equals(peer.incarnation())) ? known
				: new Cursor(peer.incarnation(), UNKNOWN, UNKNOWN);
	}

	private void advance(Hello peer, int taken, int given) {
		this.cursors.compute(peer.host(), (host, present) -> {
			Cursor known = cursor(present, peer);
			return new Cursor(peer.incarnation(), Math.max(known.taken(), taken), Math.max(known.given(), given));
		});
	}

	/** What to do after an answer. */
	public enum Next {

		/** Nothing: the sets are equal, or the peer was told that they differ. */
		NOTHING,

		/** Send another {@link WithdrawalSync#request}. */
		REQUEST,

		/** Send {@link WithdrawalSync#pull}. */
		PULL

	}

	/**
	 * A request.
	 *
	 * @param message what to send
	 * @param given the own hashes up to this number are known to the peer once it has
	 * answered; -1 for unknown
	 */
	public record Ask(WithdrawnDelta message, int given) {
	}

	/**
	 * Answer to a request.
	 *
	 * @param answer the answer
	 * @param lacking whether the peer knows hashes that are unknown here, so that it is
	 * to be asked
	 */
	public record Reply(WithdrawnDelta answer, boolean lacking) {
	}

	/**
	 * What is known of a peer's set.
	 *
	 * @param incarnation the incarnation of the peer
	 * @param taken its hashes up to this number are known here
	 * @param given the own hashes up to this number are known there
	 */
	private record Cursor(String incarnation, int taken, int given) {
	}

}
