package org.bamboorelay.core.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.bamboorelay.core.connection.PeerMessage.Hello;
import org.bamboorelay.core.connection.PeerMessage.WithdrawnDelta;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.WithdrawnKeys;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a host that misses a withdrawal because only differences are
 * transferred, and against transfers of complete sets if a difference is sufficient.
 */
class WithdrawalSyncTests {

	private int hashesSent;

	@Test
	void equalSetsTransferNoHashes() {
		Node one = new Node("one");
		Node two = new Node("two");
		add(one, 0, 50);
		add(two, 0, 50);
		exchange(one, two);
		assertThat(this.hashesSent).isZero();
	}

	@Test
	void knownPeerReceivesOnlyNewHashes() {
		Node one = new Node("one");
		Node two = new Node("two");
		add(one, 0, 50);
		exchange(two, one);
		assertThat(this.hashesSent).isEqualTo(50);
		add(one, 50, 52);
		exchange(two, one);
		add(two, 60, 61);
		exchange(two, one);
		assertThat(this.hashesSent).isEqualTo(53);
		assertThat(two.keys.all()).containsAll(one.keys.all()).hasSameSizeAs(one.keys.all());
	}

	@Test
	void restartedPeerReceivesCompleteSetRegardlessOfInitiator() {
		Node one = new Node("one");
		Node two = new Node("two");
		add(one, 0, 50);
		exchange(one, two);
		assertThat(two.keys.size()).isEqualTo(50);
		Node restarted = new Node("two");
		add(restarted, 90, 91);
		exchange(one, restarted);
		assertThat(restarted.keys.size()).isEqualTo(51);
		assertThat(one.keys.size()).isEqualTo(51);
	}

	@Test
	void differentSetsOfEqualSizeAreMerged() {
		Node one = new Node("one");
		Node two = new Node("two");
		add(one, 0, 2);
		add(two, 1, 3);
		exchange(one, two);
		assertThat(one.keys.size()).isEqualTo(3);
		assertThat(two.keys.size()).isEqualTo(3);
	}

	@Test
	void unknownPeerHoldsPushedHashAfterResponding() {
		Node one = new Node("one");
		Node two = new Node("two");
		add(one, 0, 50);
		List<KeyHash> fresh = List.of(key(49));
		two.sync.response(one.sync.request(two.hello, fresh).message());
		assertThat(two.keys.all()).isEqualTo(fresh);
	}

	@Test
	void reorderedResponsesLoseNoHashes() {
		Node one = new Node("one");
		Node two = new Node("two");
		exchange(one, two);
		add(one, 0, 1);
		WithdrawalSync.SyncRequest slow = one.sync.request(two.hello, List.of());
		add(one, 1, 2);
		WithdrawalSync.SyncRequest fast = one.sync.request(two.hello, List.of());
		WithdrawnDelta answer = two.sync.response(fast.message()).response();
		add(two, 5, 6);
		WithdrawnDelta late = two.sync.response(slow.message()).response();
		one.sync.onResponse(two.hello, slow, late);
		one.sync.onResponse(two.hello, fast, answer);
		exchange(one, two);
		assertThat(one.keys.size()).isEqualTo(3);
		assertThat(two.keys.size()).isEqualTo(3);
	}

	@Test
	void setsConvergeUnderRandomAdditionsRestartsAndExchanges() {
		for (long seed = 0; seed < 500; seed++) {
			Random random = new Random(seed);
			List<Node> nodes = new ArrayList<>(List.of(new Node("0"), new Node("1"), new Node("2")));
			for (int i = 0; i < 60; i++) {
				int at = random.nextInt(3);
				int action = random.nextInt(10);
				if (action == 0) {
					nodes.set(at, new Node(String.valueOf(at)));
				}
				else if (action < 5) {
					add(nodes.get(at), i, i + 1);
				}
				else {
					exchange(nodes.get(at), nodes.get((at + 1 + random.nextInt(2)) % 3));
				}
			}
			exchange(nodes.get(0), nodes.get(1));
			exchange(nodes.get(1), nodes.get(2));
			exchange(nodes.get(2), nodes.get(0));
			WithdrawnKeys.Delta first = nodes.get(0).keys.digest();
			assertThat(nodes).as("seed %d", seed).allMatch((node) -> node.keys.digest().equals(first));
		}
	}

	/** Runs an exchange, and the one that the peer initiates if it misses hashes. */
	private void exchange(Node from, Node to) {
		WithdrawalSync.SyncRequest syncRequest = from.sync.request(to.hello, List.of());
		boolean peerHasMore = false;
		for (int rounds = 0; rounds < 4; rounds++) {
			WithdrawalSync.SyncResponse reply = to.sync.response(syncRequest.message());
			this.hashesSent += syncRequest.message().keys().size() + reply.response().keys().size();
			peerHasMore |= reply.peerHasMore();
			WithdrawalSync.NextStep next = from.sync.onResponse(to.hello, syncRequest, reply.response());
			if (next == WithdrawalSync.NextStep.DONE) {
				break;
			}
			syncRequest = (next == WithdrawalSync.NextStep.FULL_REQUEST) ? from.sync.fullRequest()
					: from.sync.request(to.hello, List.of());
		}
		if (peerHasMore) {
			exchange(to, from);
		}
	}

	private static void add(Node node, int from, int to) {
		for (int i = from; i < to; i++) {
			node.keys.add(List.of(key(i)));
		}
	}

	private static KeyHash key(int number) {
		return KeyHash.ofKey("key-" + number);
	}

	private static final class Node {

		private static int startCount;

		private final WithdrawnKeys keys = new WithdrawnKeys();

		private final WithdrawalSync sync = WithdrawalSync.over(this.keys);

		private final Hello hello;

		private Node(String name) {
			this.hello = Hello.of("huerto", HostId.of("host-" + name), FailureDomain.of("gt-centro-a"), "entry",
					"start-" + startCount++);
		}

	}

}
