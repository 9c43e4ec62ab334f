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
 * Exchanges withdrawn keys with the other entry hosts. A host that takes a withdrawal
 * from an operator pushes it to all peers; a host that learns of it from a peer does not,
 * as the counts in its heartbeats make the others ask within a second.
 * <p>
 * Thread-safe.
 */
final class WithdrawalExchange {

	static final String ENTRY_ROLE = "entry";

	private static final Logger LOG = LoggerFactory.getLogger(WithdrawalExchange.class);

	private static final long CALL_TIMEOUT_MILLIS = 2_000;

	/** The longest wait for the first peer to confirm; below the operators' 3 s. */
	private static final long CONFIRM_MILLIS = 1_000;

	/** A digest, a whole set, the news that the sets differ, and one further change. */
	private static final int MAX_ROUNDS = 4;

	/** Whole sets that are received at the same time, so that a restart costs few. */
	private static final int MAX_PULLS = 2;

	/** A peer that does not answer holds up whole sets of others no longer than this. */
	private static final long PULL_WAIT_MILLIS = 500;

	private final WithdrawnKeys keys;

	private final WithdrawalSync sync;

	private final Executor threads;

	private final Consumer<PeerLink> onAsked;

	private final Set<PeerLink> exchanging = ConcurrentHashMap.newKeySet();

	private final Semaphore pulls = new Semaphore(MAX_PULLS);

	WithdrawalExchange(WithdrawnKeys keys, Executor threads, Consumer<PeerLink> onAsked) {
		this.keys = keys;
		this.sync = WithdrawalSync.over(keys);
		this.threads = threads;
		this.onAsked = onAsked;
	}

	/**
	 * Compares the sets with a peer, and takes what is missing here.
	 * @param link the link to the peer
	 */
	void exchange(PeerLink link) {
		if (!this.exchanging.add(link)) {
			return;
		}
		this.threads.execute(() -> {
			try {
				run(link, List.of());
			}
			finally {
				this.exchanging.remove(link);
				this.onAsked.accept(link);
			}
		});
	}

	/**
	 * Withdraws keys, pushes them to all peers and waits for the first to confirm.
	 * @param withdrawn the hashes
	 * @param links the links to the peers
	 * @return how many hosts are known to hold them, this one included
	 */
	int withdraw(List<KeyHash> withdrawn, List<PeerLink> links) {
		log(this.keys.add(withdrawn).size(), "operator");
		AtomicInteger holders = new AtomicInteger(1);
		AtomicInteger pending = new AtomicInteger(links.size());
		CountDownLatch decided = new CountDownLatch(links.isEmpty() ? 0 : 1);
		for (PeerLink link : links) {
			this.threads.execute(() -> {
				if (run(link, withdrawn)) {
					holders.incrementAndGet();
					decided.countDown();
				}
				if (pending.decrementAndGet() == 0) {
					decided.countDown();
				}
			});
		}
		try {
			decided.await(CONFIRM_MILLIS, TimeUnit.MILLISECONDS);
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
		int before = this.keys.size();
		WithdrawalSync.Reply reply = this.sync.answer(delta);
		log(this.keys.size() - before, "peer");
		if (reply.lacking() && ENTRY_ROLE.equals(link.remote().role())) {
			exchange(link);
		}
		return reply.answer();
	}

	/**
	 * Exchanges until the sets are equal or the peer knows that they differ.
	 * @param link the link to the peer
	 * @param fresh hashes that the peer is told in any case
	 * @return whether the peer holds them
	 */
	private boolean run(PeerLink link, List<KeyHash> fresh) {
		if (!link.remote().knows(PeerMessage.WithdrawnDelta.class)) {
			return runWhole(link);
		}
		WithdrawalSync.Next next = round(link, this.sync.request(link.remote(), fresh));
		boolean confirmed = next != null;
		if (confirmed && !fresh.isEmpty()) {
			// What is missing here is left to the exchanges, so that this answer is not
			// late.
			return true;
		}
		for (int i = 1; i < MAX_ROUNDS && next != null && next != WithdrawalSync.Next.NOTHING; i++) {
			next = (next == WithdrawalSync.Next.PULL) ? pull(link)
					: round(link, this.sync.request(link.remote(), List.of()));
		}
		return confirmed;
	}

	private WithdrawalSync.@Nullable Next pull(PeerLink link) {
		boolean acquired = false;
		try {
			acquired = this.pulls.tryAcquire(PULL_WAIT_MILLIS, TimeUnit.MILLISECONDS);
			return round(link, this.sync.pull());
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

	private WithdrawalSync.@Nullable Next round(PeerLink link, WithdrawalSync.Ask ask) {
		Either<PeerFailure, PeerMessage> answer = link.call(ask.message(), CALL_TIMEOUT_MILLIS);
		if (answer.isLeft() || !(answer.get() instanceof PeerMessage.WithdrawnDelta theirs)) {
			return null;
		}
		int before = this.keys.size();
		WithdrawalSync.Next next = this.sync.onAnswer(link.remote(), ask, theirs);
		log(this.keys.size() - before, "peer");
		return next;
	}

	// Hashes that arrive during the call are sent by the next round.
	private boolean runWhole(PeerLink link) {
		int before;
		do {
			before = this.keys.size();
			Either<PeerFailure, PeerMessage> answer = link.call(new PeerMessage.Withdraw(this.keys.all()),
					CALL_TIMEOUT_MILLIS);
			if (answer.isLeft()) {
				return false;
			}
			if (answer.get() instanceof PeerMessage.Withdraw theirs) {
				log(this.keys.add(theirs.keys()).size(), "peer");
			}
		}
		while (before != this.keys.size());
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
