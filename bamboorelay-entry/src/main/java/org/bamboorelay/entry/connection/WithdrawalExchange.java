package org.bamboorelay.entry.connection;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.connection.WithdrawalSync;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.WithdrawnKeys;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.connection.PeerLink;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges withdrawn keys with the other entry hosts. A host that receives a withdrawal
 * from an operator pushes it to all peers. A host that learns of it from a peer does not,
 * as the counts in its heartbeats make the other hosts start an exchange within a second.
 * <p>
 * Thread-safe.
 */
final class WithdrawalExchange {

	static final String ENTRY_ROLE = "entry";

	private static final Logger LOG = LoggerFactory.getLogger(WithdrawalExchange.class);

	private static final long CALL_TIMEOUT_MILLIS = 2_000;

	/**
	 * Maximum wait for the confirmation of the first peer, in milliseconds. Below the 3 s
	 * timeout of the operators' program.
	 */
	private static final long CONFIRMATION_TIMEOUT_MILLIS = 1_000;

	/**
	 * Maximum number of round trips of an exchange: a digest, a full set, the notice that
	 * the sets differ, and one further change.
	 */
	private static final int MAX_ROUNDS = 4;

	/**
	 * Maximum number of full sets received concurrently, so that a restarted host fetches
	 * few of them.
	 */
	private static final int MAX_CONCURRENT_PULLS = 2;

	/**
	 * Maximum wait for a pull permit, in milliseconds, so that a peer that does not reply
	 * delays the full sets of others no longer than this.
	 */
	private static final long PULL_PERMIT_WAIT_MILLIS = 500;

	private final WithdrawnKeys keys;

	private final WithdrawalSync sync;

	private final Executor threads;

	private final Consumer<PeerLink> onExchangeCompleted;

	private final Set<PeerLink> exchanging = ConcurrentHashMap.newKeySet();

	private final Semaphore pulls = new Semaphore(MAX_CONCURRENT_PULLS);

	WithdrawalExchange(WithdrawnKeys keys, Executor threads, Consumer<PeerLink> onExchangeCompleted) {
		this.keys = keys;
		this.sync = WithdrawalSync.over(keys);
		this.threads = threads;
		this.onExchangeCompleted = onExchangeCompleted;
	}

	/**
	 * Compares the withdrawn keys with those of a peer, and fetches the missing ones.
	 * @param link the link to the peer
	 */
	void exchange(PeerLink link) {
		if (!this.exchanging.add(link)) {
			return;
		}
		this.threads.execute(() -> {
			try {
				exchangeDeltas(link, List.of());
			}
			finally {
				this.exchanging.remove(link);
				this.onExchangeCompleted.accept(link);
			}
		});
	}

	/**
	 * Withdraws keys, pushes them to all peers and waits for the first confirmation.
	 * @param withdrawn the hashes of the keys
	 * @param links the links to the peers
	 * @return the number of hosts known to hold the withdrawal, including this one
	 */
	int withdraw(List<KeyHash> withdrawn, List<PeerLink> links) {
		log(this.keys.add(withdrawn).size(), "operator");
		AtomicInteger holders = new AtomicInteger(1);
		AtomicInteger pending = new AtomicInteger(links.size());
		CountDownLatch settled = new CountDownLatch(links.isEmpty() ? 0 : 1);
		for (PeerLink link : links) {
			this.threads.execute(() -> {
				if (exchangeDeltas(link, withdrawn)) {
					holders.incrementAndGet();
					settled.countDown();
				}
				if (pending.decrementAndGet() == 0) {
					settled.countDown();
				}
			});
		}
		try {
			settled.await(CONFIRMATION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return holders.get();
	}

	PeerMessage onWithdraw(PeerMessage.Withdraw withdraw) {
		log(this.keys.add(withdraw.keys()).size(), "peer");
		return new PeerMessage.Withdraw(this.keys.all());
	}

	PeerMessage onDelta(PeerLink link, PeerMessage.WithdrawnDelta delta) {
		int sizeBefore = this.keys.size();
		WithdrawalSync.SyncResponse reply = this.sync.response(delta);
		log(this.keys.size() - sizeBefore, "peer");
		if (reply.peerHasMore() && ENTRY_ROLE.equals(link.remote().role())) {
			exchange(link);
		}
		return reply.response();
	}

	/**
	 * Exchanges deltas until the sets are equal or the peer knows that they differ.
	 * @param link the link to the peer
	 * @param newKeys hashes that are sent in any case
	 * @return whether the peer confirmed these hashes
	 */
	private boolean exchangeDeltas(PeerLink link, List<KeyHash> newKeys) {
		if (!link.remote().supports(PeerMessage.WithdrawnDelta.class)) {
			return exchangeFullSets(link);
		}
		WithdrawalSync.NextStep next = exchangeOnce(link, this.sync.request(link.remote(), newKeys));
		boolean confirmed = next != null;
		if (confirmed && !newKeys.isEmpty()) {
			// Keys missing on this host are left to periodic exchanges, so that the
			// confirmation is not delayed.
			return true;
		}
		for (int i = 1; i < MAX_ROUNDS && next != null && next != WithdrawalSync.NextStep.DONE; i++) {
			next = (next == WithdrawalSync.NextStep.FULL_REQUEST) ? pull(link)
					: exchangeOnce(link, this.sync.request(link.remote(), List.of()));
		}
		return confirmed;
	}

	private WithdrawalSync.@Nullable NextStep pull(PeerLink link) {
		boolean acquired = false;
		try {
			acquired = this.pulls.tryAcquire(PULL_PERMIT_WAIT_MILLIS, TimeUnit.MILLISECONDS);
			return exchangeOnce(link, this.sync.fullRequest());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return null;
		}
		finally {
			if (acquired) {
				this.pulls.release();
			}
		}
	}

	private WithdrawalSync.@Nullable NextStep exchangeOnce(PeerLink link, WithdrawalSync.SyncRequest ask) {
		Either<PeerFailure, PeerMessage> answer = link.call(ask.message(), CALL_TIMEOUT_MILLIS);
		if (answer.isLeft() || !(answer.get() instanceof PeerMessage.WithdrawnDelta received)) {
			return null;
		}
		int sizeBefore = this.keys.size();
		WithdrawalSync.NextStep next = this.sync.onResponse(link.remote(), ask, received);
		log(this.keys.size() - sizeBefore, "peer");
		return next;
	}

	// Hashes that arrive during the call are sent in the next iteration.
	private boolean exchangeFullSets(PeerLink link) {
		int sizeBefore;
		do {
			sizeBefore = this.keys.size();
			Either<PeerFailure, PeerMessage> answer = link.call(new PeerMessage.Withdraw(this.keys.all()),
					CALL_TIMEOUT_MILLIS);
			if (answer.isLeft()) {
				return false;
			}
			if (answer.get() instanceof PeerMessage.Withdraw received) {
				log(this.keys.add(received.keys()).size(), "peer");
			}
		}
		while (sizeBefore != this.keys.size());
		return true;
	}

	private static void log(int added, String source) {
		if (added > 0) {
			LOG.atInfo()
				.addKeyValue("event", "keys.withdrawn")
				.addKeyValue("count", added)
				.addKeyValue("source", source)
				.log("keys.withdrawn");
		}
	}

}
