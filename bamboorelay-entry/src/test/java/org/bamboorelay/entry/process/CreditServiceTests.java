package org.bamboorelay.entry.process;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.core.version.WorkspaceId;
import org.bamboorelay.entry.request.Credit;
import org.bamboorelay.entry.request.RouteRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests sent to endpoints that must not get any, and against more
 * running requests than an endpoint's limit, across several hosts.
 */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CreditServiceTests {

	private static final RouteRequest REQUEST = new RouteRequest(CreditCluster.SERVICE, null, true, true, 0, 10, null,
			List.of());

	/**
	 * Guards against a host that accepts an offer for a set that it does not hold or that
	 * has changed, and against an offer of a superseded control process.
	 */
	@Test
	void offerIsAcceptedOnlyForTheSetThatIsHeld() throws IOException {
		try (CreditCluster cluster = new CreditCluster(2, "a1")) {
			PeerMessage.EndpointInfo live = cluster.endpoint("e1", "a", false);
			PeerMessage.EndpointSet set = new PeerMessage.EndpointSet(FailureDomain.of("a"), 5, List.of(live),
					List.of());
			PeerMessage.EndpointSet leaving = new PeerMessage.EndpointSet(FailureDomain.of("a"), 9,
					List.of(cluster.endpoint("e1", "a", true)), List.of());
			CreditService service = cluster.service("a1");
			assertThat(service.accept(offer(set, 4))).isInstanceOf(PeerMessage.Rejected.class);
			service.accept(set);
			assertThat(service.accept(offer(set, 6))).isEqualTo(new PeerMessage.Ack(true));
			assertThat(service.accept(offer(set, 6))).matches((answer) -> code(answer).equals("old-sequence"));
			assertThat(service.accept(offer(leaving, 7))).matches((answer) -> code(answer).equals("need-set"));
			assertThat(service.accept(leaving)).isEqualTo(new PeerMessage.Ack(true));
			assertThat(service.accept(set)).matches((answer) -> code(answer).equals("old-sequence"));
		}
	}

	private static PeerMessage.EndpointSetOffer offer(PeerMessage.EndpointSet set, long sequence) {
		return new PeerMessage.EndpointSetOffer(set.domain(), sequence, set.contentHash());
	}

	private static String code(PeerMessage answer) {
		return ((PeerMessage.Rejected) answer).code();
	}

	@Test
	void ownerGrantsCreditsUpToTheCapacityOfItsEndpoint() throws Exception {
		try (CreditCluster cluster = new CreditCluster(2, "a1")) {
			cluster.publishEndpoints("a", 1, cluster.endpoint("e1", "a", false));
			cluster.run(3_000);
			Credit one = cluster.service("a1").acquire(REQUEST).get();
			cluster.service("a1").acquire(REQUEST).get();
			CompletableFuture<Either<Refusal, Credit>> third = waiting(cluster, "a1");
			one.end(Credit.Outcome.OK, 5, 10);
			assertThat(third.get(10, TimeUnit.SECONDS).isRight()).isTrue();
			assertThat(cluster.lent("e1")).isEqualTo(2);
		}
	}

	@Test
	void queuedRequestsAreServedInOrderOfTheirPriority() throws Exception {
		try (CreditCluster cluster = new CreditCluster(1, "a1")) {
			cluster.publishEndpoints("a", 1, cluster.endpoint("e1", "a", false));
			cluster.run(3_000);
			CreditService service = cluster.service("a1");
			Credit credit = service.acquire(REQUEST).get();
			Map<String, CompletableFuture<Credit>> waiting = new TreeMap<>();
			for (String name : List.of("norte", "oeste", "sur")) {
				RouteRequest request = new RouteRequest(CreditCluster.SERVICE, WorkspaceId.of(name), true, true, 0, 10,
						null, List.of());
				waiting.put(name, CompletableFuture.supplyAsync(() -> service.acquire(request).get()));
				while (service.waiting(CreditCluster.SERVICE) < waiting.size()) {
					Thread.onSpinWait();
				}
			}
			cluster.priorities(new Rules.PriorityRule(WorkspaceId.of("oeste"), CreditCluster.SERVICE, null, 9),
					new Rules.PriorityRule(WorkspaceId.of("norte"), null, Rules.RequestClass.INTERACTIVE, 0));
			for (String name : List.of("oeste", "sur", "norte")) {
				credit.end(Credit.Outcome.OK, 5, 10);
				credit = CompletableFuture.anyOf(waiting.values().toArray(CompletableFuture[]::new))
					.thenApply(Credit.class::cast)
					.get(10, TimeUnit.SECONDS);
				assertThat(waiting.get(name)).as(name).isDone();
				waiting.remove(name);
			}
		}
	}

	@Test
	void hostWithoutEndpointsGetsCreditsOfAnotherDomain() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "b1")) {
			cluster.publishEndpoints("b", 1, cluster.endpoint("e1", "b", false));
			cluster.run(3_000);
			Credit credit = cluster.service("a1").acquire(REQUEST).get();
			assertThat(cluster.lent("e1")).isEqualTo(1);
			cluster.run(10_000);
			assertThat(cluster.lent("e1")).as("renewed for 10 s").isEqualTo(1);
			credit.end(Credit.Outcome.OK, 5, 10);
			assertThat(cluster.lent("e1")).isZero();
		}
	}

	@Test
	void creditsOfAKilledHostExpire() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "b1")) {
			cluster.publishEndpoints("b", 1, cluster.endpoint("e1", "b", false));
			cluster.run(3_000);
			cluster.service("a1").acquire(REQUEST).get();
			cluster.kill("a1");
			cluster.run(2_900);
			assertThat(cluster.lent("e1")).isEqualTo(1);
			cluster.run(100);
			assertThat(cluster.lent("e1")).isZero();
		}
	}

	@Test
	void runningRequestWithExpiredCreditIsRegisteredAgain() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "b1")) {
			cluster.publishEndpoints("b", 1, cluster.endpoint("e1", "b", false));
			cluster.run(3_000);
			cluster.service("a1").acquire(REQUEST).get();
			cluster.clock.advance(3_000);
			cluster.service("b1").tick();
			assertThat(cluster.lent("e1")).as("renewals were late").isZero();
			cluster.run(1_000);
			assertThat(cluster.lent("e1")).isEqualTo(1);
		}
	}

	@Test
	void grantThatArrivesAfterItsExpiryIsNotUsed() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "b1")) {
			cluster.publishEndpoints("b", 1, cluster.endpoint("e1", "b", false));
			cluster.run(3_000);
			cluster.nextGrantDelayMillis = 3_500;
			cluster.service("a1").acquire(REQUEST).get();
			cluster.service("b1").tick();
			assertThat(cluster.lent("e1")).isEqualTo(1);
		}
	}

	@Test
	void requestIsCountedByAnOwnerThatOnlyItsHolderConsidersDead() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "a2", "b1")) {
			cluster.publishEndpoints("a", 1, cluster.endpoint("e1", "a", false));
			cluster.run(3_000);
			cluster.service("b1").acquire(REQUEST).get();
			cluster.hiddenHosts.put(HostId.of("b1"), cluster.service("b1").status().get(0).owner());
			cluster.run(10_000);
			assertThat(cluster.lent("e1")).isEqualTo(1);
		}
	}

	@Test
	void queuedRequestIsRefusedAtItsDeadline() throws Exception {
		try (CreditCluster cluster = new CreditCluster(1, "a1", "b1")) {
			cluster.publishEndpoints("b", 1, cluster.endpoint("e1", "b", false));
			cluster.run(3_000);
			cluster.service("b1").acquire(REQUEST).get();
			CompletableFuture<Either<Refusal, Credit>> second = waiting(cluster, "a1");
			cluster.run(59_000);
			assertThat(second.isDone()).isFalse();
			cluster.run(2_000);
			assertThat(reason(second.get(10, TimeUnit.SECONDS))).isEqualTo(RefusalReason.DEADLINE);
			assertThat(cluster.lent("e1")).isEqualTo(1);
		}
	}

	@Test
	void queuedRequestIsServedAfterADigestWithFreeCredits() throws Exception {
		try (CreditCluster cluster = new CreditCluster(1, "a1", "b1")) {
			cluster.publishEndpoints("b", 1, cluster.endpoint("e1", "b", false));
			cluster.run(3_000);
			Credit first = cluster.service("b1").acquire(REQUEST).get();
			CompletableFuture<Either<Refusal, Credit>> second = waiting(cluster, "a1");
			first.end(Credit.Outcome.OK, 5, 10);
			cluster.service("a1").applyDigests(HostId.of("b1"), cluster.service("b1").digests());
			assertThat(second.get(10, TimeUnit.SECONDS).isRight()).isTrue();
		}
	}

	@Test
	void hostOfADisabledDomainUsesOwnersKnownOnlyFromDigests() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "b1")) {
			cluster.publishEndpointsInDomain("a", 1, cluster.endpoint("e1", "a", false));
			cluster.publishEndpointsInDomain("b", 1, cluster.endpoint("e2", "b", false));
			cluster.run(3_000);
			cluster.exchangeDigests();
			cluster.setDomainInService("a", false);
			assertThat(cluster.service("a1").acquire(REQUEST).get().endpoint().value()).isEqualTo("e2");
			assertThat(cluster.lent("e1")).isZero();
		}
	}

	@Test
	void requestsGoToOtherDomainsWhileANewOwnerDoesNotGrantCredits() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "b1")) {
			cluster.publishEndpointsInDomain("b", 1, cluster.endpoint("e2", "b", false));
			cluster.run(3_000);
			cluster.exchangeDigests();
			cluster.publishEndpointsInDomain("a", 1, cluster.endpoint("e1", "a", false));
			assertThat(cluster.service("a1").acquire(REQUEST).get().endpoint().value()).isEqualTo("e2");
		}
	}

	@Test
	void digestOfADisabledDomainIsIgnored() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "b1")) {
			cluster.publishEndpointsInDomain("b", 1, cluster.endpoint("e2", "b", false));
			cluster.run(3_000);
			cluster.exchangeDigests();
			cluster.setDomainInService("b", false);
			cluster.exchangeDigests();
			assertThat(reason(cluster.service("a1").acquire(REQUEST))).isEqualTo(RefusalReason.NO_ENDPOINT);
		}
	}

	@Test
	void startingProcessQueuesRequestsUntilItsFirstEndpointSet() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1")) {
			CompletableFuture<Either<Refusal, Credit>> request = waiting(cluster, "a1");
			cluster.publishEndpoints("a", 1, cluster.endpoint("e1", "a", false));
			cluster.run(3_000);
			assertThat(request.get(10, TimeUnit.SECONDS).isRight()).isTrue();
		}
	}

	@Test
	void supersededControlProcessCannotRestoreAnEndpoint() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1")) {
			cluster.publishEndpoints("a", 1_000, cluster.endpoint("e1", "a", true));
			cluster.publishEndpoints("a", 999, cluster.endpoint("e1", "a", false));
			cluster.run(3_000);
			assertThat(reason(cluster.service("a1").acquire(REQUEST))).isEqualTo(RefusalReason.NO_ENDPOINT);
		}
	}

	@Test
	void queuedRequestIsServedByAnotherDomainWhenItsDomainIsDisabled() throws Exception {
		try (CreditCluster cluster = new CreditCluster(1, "a1", "b1")) {
			cluster.publishEndpoints("a", 1, cluster.endpoint("e1", "a", false));
			cluster.publishEndpoints("b", 1, cluster.endpoint("e2", "b", false));
			cluster.run(3_000);
			Credit one = cluster.service("a1").acquire(REQUEST).get();
			Credit two = cluster.service("a1").acquire(REQUEST).get();
			CompletableFuture<Either<Refusal, Credit>> third = waiting(cluster, "a1");
			cluster.setDomainInService("a", false);
			(one.endpoint().value().equals("e1") ? one : two).end(Credit.Outcome.OK, 5, 10);
			cluster.run(5_000);
			assertThat(third.isDone()).as("domain a is out").isFalse();
			assertThat(cluster.lent("e1")).isZero();
			(one.endpoint().value().equals("e2") ? one : two).end(Credit.Outcome.OK, 5, 10);
			assertThat(third.get(10, TimeUnit.SECONDS).get().endpoint().value()).isEqualTo("e2");
		}
	}

	@Test
	void queuedRequestIsRefusedWhenTheLastEndpointReportsThatItIsLeaving() throws Exception {
		try (CreditCluster cluster = new CreditCluster(1, "a1")) {
			cluster.publishEndpoints("a", 1, cluster.endpoint("e1", "a", false));
			cluster.run(3_000);
			cluster.service("a1").acquire(REQUEST).get();
			CompletableFuture<Either<Refusal, Credit>> second = waiting(cluster, "a1");
			cluster.setLoadReport("one", true, 1, true);
			cluster.run(1_000);
			assertThat(reason(second.get(10, TimeUnit.SECONDS))).isEqualTo(RefusalReason.NO_ENDPOINT);
		}
	}

	@Test
	void newOwnerAdoptsRunningRequestsBeforeItGrantsCredits() throws Exception {
		try (CreditCluster cluster = new CreditCluster(2, "a1", "a2", "b1")) {
			cluster.publishEndpoints("a", 1, cluster.endpoint("e1", "a", false));
			cluster.run(3_000);
			cluster.service("b1").acquire(REQUEST).get();
			cluster.service("b1").acquire(REQUEST).get();
			String owner = cluster.service("b1").status().get(0).owner().value();
			cluster.kill(owner);
			CompletableFuture<Either<Refusal, Credit>> third = waiting(cluster, "b1");
			cluster.run(10_000);
			assertThat(third.isDone()).as("both requests still run").isFalse();
			assertThat(cluster.lent("e1")).isEqualTo(2);
		}
	}

	/**
	 * Guards against starvation of a host without endpoints: the owner gave each returned
	 * credit to its own queue, so that requests of the other host were never served.
	 */
	@Test
	void hostWithoutEndpointsIsServedWhileTheOwnersQueueIsFull() throws Exception {
		try (CreditCluster cluster = new CreditCluster(2, "a1", "a2")) {
			cluster.publishEndpoints("a", 1, cluster.endpoint("e1", "a", false));
			cluster.run(3_000);
			String owner = cluster.service("a1").status().get(0).owner().value();
			String other = owner.equals("a1") ? "a2" : "a1";
			BlockingQueue<Credit> credits = new LinkedBlockingQueue<>();
			credits.add(cluster.service(owner).acquire(REQUEST).get());
			credits.add(cluster.service(owner).acquire(REQUEST).get());
			int queuedCount = 40;
			for (int i = 0; i < queuedCount; i++) {
				new Thread(() -> cluster.service(owner).acquire(REQUEST).forEach(credits::add)).start();
			}
			while (cluster.service(owner).waiting(CreditCluster.SERVICE) < queuedCount) {
				Thread.onSpinWait();
			}
			CompletableFuture<Either<Refusal, Credit>> remote = waiting(cluster, other);
			for (int i = 0; i < queuedCount && !remote.isDone(); i++) {
				cluster.run(50);
				// While the request of the other host is not queued, its credit request
				// is in transit.
				while (cluster.service(other).waiting(CreditCluster.SERVICE) == 0 && !remote.isDone()) {
					Thread.onSpinWait();
				}
				Credit next = credits.poll();
				if (next != null) {
					next.end(Credit.Outcome.OK, 5, 10);
				}
			}
			assertThat(remote.isDone()).as("served while the owner's queue was full").isTrue();
			assertThat(cluster.service(owner).waiting(CreditCluster.SERVICE)).isPositive();
		}
	}

	@Test
	void sixHostsTogetherNeverExceedTheCapacityOfAnEndpoint() throws Exception {
		String[] hosts = { "a1", "a2", "b1", "b2", "c1", "c2" };
		try (CreditCluster cluster = new CreditCluster(3, hosts)) {
			cluster.publishEndpoints("a", 1, cluster.endpoint("e1", "a", false));
			cluster.run(3_000);
			AtomicInteger running = new AtomicInteger();
			BlockingQueue<Credit> credits = new LinkedBlockingQueue<>();
			for (String host : hosts) {
				for (int i = 0; i < 4; i++) {
					new Thread(() -> {
						Credit credit = cluster.service(host).acquire(REQUEST).get();
						running.incrementAndGet();
						credits.add(credit);
					}).start();
				}
			}
			for (int left = 24; left > 0; left--) {
				awaitSettled(cluster, hosts, running, left);
				for (int i = 0; i < 1_000 && running.get() < Math.min(3, left); i++) {
					cluster.run(50);
					awaitSettled(cluster, hosts, running, left);
				}
				cluster.run(1_000);
				awaitSettled(cluster, hosts, running, left);
				assertThat(running.get()).isEqualTo(Math.min(3, left));
				Credit ended = credits.poll(10, TimeUnit.SECONDS);
				running.decrementAndGet();
				ended.end(Credit.Outcome.OK, 5, 10);
			}
		}
	}

	/**
	 * Waits until each request is either queued or has recorded its credit. The clock of
	 * the cluster must not advance before threads that a busy machine has not scheduled
	 * yet, as their requests would miss their deadline.
	 */
	private static void awaitSettled(CreditCluster cluster, String[] hosts, AtomicInteger running, int requests) {
		long start = System.nanoTime();
		int settled = -1;
		while (settled != requests) {
			settled = running.get();
			for (String host : hosts) {
				settled += cluster.service(host).waiting(CreditCluster.SERVICE);
			}
			assertThat(System.nanoTime() - start).as("nanoseconds until " + requests + " requests wait or run")
				.isLessThan(TimeUnit.SECONDS.toNanos(30));
		}
	}

	private static CompletableFuture<Either<Refusal, Credit>> waiting(CreditCluster cluster, String host)
			throws IOException {
		CreditService service = cluster.service(host);
		CompletableFuture<Either<Refusal, Credit>> result = CompletableFuture
			.supplyAsync(() -> service.acquire(REQUEST));
		while (service.waiting(CreditCluster.SERVICE) == 0 && !result.isDone()) {
			Thread.onSpinWait();
		}
		return result;
	}

	private static RefusalReason reason(Either<Refusal, Credit> answer) {
		return answer.getLeft().reason();
	}

}
