package org.bamboorelay.entry.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.runtime.connection.PeerLink;
import org.bamboorelay.runtime.request.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a host that misses a configuration, a withdrawal or a leaving peer, and
 * against a host that fetches the same configuration from all peers.
 */
@Timeout(30)
class PeerExchangeTests {

	private static final HostId ONE = HostId.of("host-1");

	private static final HostId TWO = HostId.of("host-2");

	@Test
	void restartingHostAcceptsTheConfigurationOfAPeer() throws Exception {
		try (TestEntry one = TestEntry.peer("host-1")) {
			one.process().configuration().accept(TestEntry.configuration(7), 0);
			try (TestEntry two = TestEntry.peer("host-2", "127.0.0.1:" + one.process().peerPort())) {
				CompletableFuture<Long> versionsInForce = new CompletableFuture<>();
				two.process().configuration().onChange((changed) -> versionsInForce.complete(changed.version()));
				assertThat(two.process().configuration().current().isDefined()
						|| versionsInForce.get(10, TimeUnit.SECONDS) == 7)
					.isTrue();
				await(() -> two.process().configuration().isReady());
				assertThat(two.process().configuration().viewAgeMillis()).isNotNegative();
			}
		}
	}

	@Test
	void restartingHostFetchesTheConfigurationFromAtMostTwoPeers() throws IOException {
		List<TestEntry> peers = new ArrayList<>();
		try {
			for (int i = 0; i < 6; i++) {
				TestEntry peer = TestEntry.peer("host-" + i);
				peer.process().configuration().accept(TestEntry.configuration(7), 0);
				peers.add(peer);
			}
			String[] addresses = peers.stream()
				.map((peer) -> "127.0.0.1:" + peer.process().peerPort())
				.toArray(String[]::new);
			try (TestEntry joining = TestEntry.peer("host-9", addresses)) {
				await(() -> joining.process().configuration().isReady());
				long bodiesSent = 0;
				for (TestEntry peer : peers) {
					bodiesSent += peer.send(TestEntry.request("GET", "/metrics", null, "", "Connection: close"))
						.body()
						.lines()
						.filter((line) -> line.startsWith("bamboorelay_config_bodies_sent_total "))
						.mapToLong((line) -> Long.parseLong(line.split(" ")[1]))
						.sum();
				}
				assertThat(bodiesSent).isBetween(1L, 2L);
			}
		}
		finally {
			peers.forEach(TestEntry::close);
		}
	}

	/**
	 * Guards against a restarted host that puts an older configuration version in force,
	 * because a peer that has not received the latest one responds first.
	 */
	@Test
	void restartingHostPutsOnlyTheLatestVersionOfItsPeersInForce() throws IOException {
		List<TestEntry> peers = new ArrayList<>();
		try {
			for (int i = 0; i < 6; i++) {
				TestEntry peer = TestEntry.peer("host-" + i);
				peer.process().configuration().accept(TestEntry.configuration((i < 5) ? 6 : 7), 0);
				peers.add(peer);
			}
			String[] addresses = peers.stream()
				.map((peer) -> "127.0.0.1:" + peer.process().peerPort())
				.toArray(String[]::new);
			try (TestEntry joining = TestEntry.peer("host-9", addresses)) {
				Queue<Long> versionsInForce = new ConcurrentLinkedQueue<>();
				joining.process().configuration().onChange((changed) -> versionsInForce.add(changed.version()));
				joining.process()
					.configuration()
					.current()
					.forEach((present) -> versionsInForce.add(present.version()));
				await(() -> joining.process().configuration().isReady());
				assertThat(versionsInForce).containsOnly(7L);
			}
		}
		finally {
			peers.forEach(TestEntry::close);
		}
	}

	@Test
	void withdrawalsReachPeersInBothDirections() throws IOException {
		try (TestEntry one = TestEntry.peer("host-1");
				TestEntry two = TestEntry.peer("host-2", "127.0.0.1:" + one.process().peerPort())) {
			await(() -> one.process().mesh().live().contains(TWO) && two.process().mesh().live().contains(ONE));
			KeyHash first = KeyHash.ofKey("first");
			KeyHash second = KeyHash.ofKey("second");
			one.process().mesh().withdraw(List.of(first));
			two.process().mesh().withdraw(List.of(second));
			await(() -> two.process().configuration().withdrawn().contains(first)
					&& one.process().configuration().withdrawn().contains(second));
		}
	}

	/**
	 * Guards against a withdrawal that was confirmed to an operator and is lost when the
	 * host that accepted it stops.
	 */
	@Test
	void confirmedWithdrawalSurvivesTheHostThatAcceptedIt() throws IOException {
		KeyHash key = KeyHash.ofKey("first");
		try (TestEntry two = TestEntry.peer("host-2")) {
			try (TestEntry one = TestEntry.peer("host-1", "127.0.0.1:" + two.process().peerPort())) {
				assertThat(two.process().mesh().withdraw(List.of(KeyHash.ofKey("alone")))).isBetween(1, 2);
				await(() -> one.process().mesh().live().contains(TWO));
				assertThat(one.process().mesh().withdraw(List.of(key))).isEqualTo(2);
				assertThat(two.process().configuration().withdrawn().contains(key)).isTrue();
			}
			assertThat(two.process().mesh().withdraw(List.of(KeyHash.ofKey("second")))).isBetween(1, 2);
		}
	}

	/**
	 * Guards against sending a message type that an earlier release does not know, which
	 * makes it close the link.
	 */
	@Test
	void peerOfAnEarlierReleaseReceivesFullSetsOnly() throws IOException {
		KeyHash first = KeyHash.ofKey("first");
		KeyHash second = KeyHash.ofKey("second");
		Queue<PeerMessage> received = new ConcurrentLinkedQueue<>();
		ExecutorService threads = Executors.newCachedThreadPool();
		try (TestEntry one = TestEntry.peer("host-1")) {
			PeerMessage.Hello hello = one.process().mesh().greeting();
			PeerMessage.Hello earlierHello = new PeerMessage.Hello(hello.magic(), hello.deployment(), TWO,
					hello.domain(), "entry", "an-incarnation", 0);
			PeerLink link = PeerLink.connect("127.0.0.1:" + one.process().peerPort(), earlierHello, (from, message) -> {
				received.add(message);
				return (message instanceof PeerMessage.Withdraw) ? new PeerMessage.Withdraw(List.of(second)) : null;
			}, (end) -> {
			}, threads).get();
			link.send(new PeerMessage.Heartbeat(false, 0, -1, 1, List.of()));
			await(() -> one.process().configuration().withdrawn().contains(second));
			assertThat(one.process().mesh().withdraw(List.of(first))).isEqualTo(2);
			assertThat(received).contains(new PeerMessage.Withdraw(List.of(second, first)))
				.noneMatch(PeerMessage.WithdrawnDelta.class::isInstance);
			link.close();
		}
		finally {
			threads.shutdownNow();
		}
	}

	@Test
	void leavingHostIsNoLongerLiveAtItsPeers() throws IOException {
		try (TestEntry one = TestEntry.peer("host-1");
				TestEntry two = TestEntry.peer("host-2", "127.0.0.1:" + one.process().peerPort())) {
			await(() -> one.process().mesh().live().contains(TWO) && two.process().mesh().live().contains(ONE));
			two.process().mesh().startLeaving();
			await(() -> !one.process().mesh().live().contains(TWO));
		}
	}

	@Test
	void offerWithoutBodyRefreshesTheViewOnlyIfItsVersionIsHeld() throws IOException {
		try (TestEntry one = TestEntry.peer("host-1")) {
			PeerMessage offerWithoutBody = new PeerMessage.ConfigOffer(7, new byte[0], 5);
			assertThat(one.process().mesh().call(ONE, offerWithoutBody, 100).getLeft().detail()).contains("version 7");
			assertThat(one.process().configuration().viewAgeMillis()).isNegative();
			byte[] body = Json.bytes(TestEntry.configuration(7));
			assertThat(one.process().mesh().call(ONE, new PeerMessage.ConfigOffer(7, body, 5), 100).isRight()).isTrue();
			assertThat(one.process().mesh().call(ONE, offerWithoutBody, 100).isRight()).isTrue();
			assertThat(one.process().configuration().viewAgeMillis()).isBetween(0L, 5_000L);
			assertThat(one.process().configuration().held().get()).isEqualTo(TestEntry.configuration(7));
		}
	}

	private static void await(BooleanSupplier condition) {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).isLessThan(deadline);
			Thread.onSpinWait();
		}
	}

}
