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
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.core.version.WorkspaceId;
import org.bamboorelay.entry.request.Credit;
import org.bamboorelay.entry.request.RouteRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against work that reaches endpoints which must get none, and against more
 * running requests than an endpoint allows, over several hosts.
 */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CreditServiceTests {

	private static final RouteRequest REQUEST = new RouteRequest(CreditCluster.SERVICE, null, true, true, 0, 10, null,
			List.of());

	@Test
	void oneHostLendsUpToTheCapacityOfItsEndpoint() throws Exception {
		try (CreditCluster cluster = new CreditCluster(2, "a1")) {
			cluster.list("a", 1, cluster.endpoint("e1", "a", false));
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
	void waitingRequestsFollowTheLevelsOfTheRules() throws Exception {
		try (CreditCluster cluster = new CreditCluster(1, "a1")) {
			cluster.list("a", 1, cluster.endpoint("e1", "a", false));
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
	void hostWithoutEndpointsGetsCreditsFromAnotherDomain() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "b1")) {
			cluster.list("b", 1, cluster.endpoint("e1", "b", false));
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
	void creditsOfKilledHolderLapse() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "b1")) {
			cluster.list("b", 1, cluster.endpoint("e1", "b", false));
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
	void runningRequestWhoseCreditLapsedIsRegisteredAgain() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "b1")) {
			cluster.list("b", 1, cluster.endpoint("e1", "b", false));
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
	void grantThatArrivesAfterItLapsedIsNotUsed() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "b1")) {
			cluster.list("b", 1, cluster.endpoint("e1", "b", false));
			cluster.run(3_000);
			cluster.nextGrantMillis = 3_500;
			cluster.service("a1").acquire(REQUEST).get();
			cluster.service("b1").tick();
			assertThat(cluster.lent("e1")).isEqualTo(1);
		}
	}

	@Test
	void ownerThatOnlyTheHolderTakesForDeadKeepsCountingTheRequest() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "a2", "b1")) {
			cluster.list("a", 1, cluster.endpoint("e1", "a", false));
			cluster.run(3_000);
			cluster.service("b1").acquire(REQUEST).get();
			cluster.unseen.put(HostId.of("b1"), cluster.service("b1").status().get(0).owner());
			cluster.run(10_000);
			assertThat(cluster.lent("e1")).isEqualTo(1);
		}
	}

	@Test
	void waitingWorkThatNobodyServesIsRefusedAtItsDeadline() throws Exception {
		try (CreditCluster cluster = new CreditCluster(1, "a1", "b1")) {
			cluster.list("b", 1, cluster.endpoint("e1", "b", false));
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
	void digestOfAnOwnerWithRoomServesWaitingWork() throws Exception {
		try (CreditCluster cluster = new CreditCluster(1, "a1", "b1")) {
			cluster.list("b", 1, cluster.endpoint("e1", "b", false));
			cluster.run(3_000);
			Credit first = cluster.service("b1").acquire(REQUEST).get();
			CompletableFuture<Either<Refusal, Credit>> second = waiting(cluster, "a1");
			first.end(Credit.Outcome.OK, 5, 10);
			cluster.service("a1").digestsFrom(HostId.of("b1"), cluster.service("b1").digests());
			assertThat(second.get(10, TimeUnit.SECONDS).isRight()).isTrue();
		}
	}

	@Test
	void hostWhoseDomainIsOutUsesOwnersKnownByDigestOnly() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "b1")) {
			cluster.listInDomain("a", 1, cluster.endpoint("e1", "a", false));
			cluster.listInDomain("b", 1, cluster.endpoint("e2", "b", false));
			cluster.run(3_000);
			cluster.heartbeats();
			cluster.domainInService("a", false);
			assertThat(cluster.service("a1").acquire(REQUEST).get().endpoint().value()).isEqualTo("e2");
			assertThat(cluster.lent("e1")).isZero();
		}
	}

	@Test
	void newOwnerThatStillWaitsOutCreditsLeavesWorkToOtherDomains() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "b1")) {
			cluster.listInDomain("b", 1, cluster.endpoint("e2", "b", false));
			cluster.run(3_000);
			cluster.heartbeats();
			cluster.listInDomain("a", 1, cluster.endpoint("e1", "a", false));
			assertThat(cluster.service("a1").acquire(REQUEST).get().endpoint().value()).isEqualTo("e2");
		}
	}

	@Test
	void digestOfADomainThatIsOutIsNotFollowed() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1", "b1")) {
			cluster.listInDomain("b", 1, cluster.endpoint("e2", "b", false));
			cluster.run(3_000);
			cluster.heartbeats();
			cluster.domainInService("b", false);
			cluster.heartbeats();
			assertThat(reason(cluster.service("a1").acquire(REQUEST))).isEqualTo(RefusalReason.NO_ENDPOINT);
		}
	}

	@Test
	void freshProcessLetsRequestsWaitForItsFirstEndpointList() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1")) {
			CompletableFuture<Either<Refusal, Credit>> request = waiting(cluster, "a1");
			cluster.list("a", 1, cluster.endpoint("e1", "a", false));
			cluster.run(3_000);
			assertThat(request.get(10, TimeUnit.SECONDS).isRight()).isTrue();
		}
	}

	@Test
	void oldControlProcessCannotBringAnEndpointBack() throws Exception {
		try (CreditCluster cluster = new CreditCluster(4, "a1")) {
			cluster.list("a", 1_000, cluster.endpoint("e1", "a", true));
			cluster.list("a", 999, cluster.endpoint("e1", "a", false));
			cluster.run(3_000);
			assertThat(reason(cluster.service("a1").acquire(REQUEST))).isEqualTo(RefusalReason.NO_ENDPOINT);
		}
	}

	@Test
	void waitingWorkMovesToAnotherDomainWhenItsDomainIsTakenOut() throws Exception {
		try (CreditCluster cluster = new CreditCluster(1, "a1", "b1")) {
			cluster.list("a", 1, cluster.endpoint("e1", "a", false));
			cluster.list("b", 1, cluster.endpoint("e2", "b", false));
			cluster.run(3_000);
			Credit one = cluster.service("a1").acquire(REQUEST).get();
			Credit two = cluster.service("a1").acquire(REQUEST).get();
			CompletableFuture<Either<Refusal, Credit>> third = waiting(cluster, "a1");
			cluster.domainInService("a", false);
			(one.endpoint().value().equals("e1") ? one : two).end(Credit.Outcome.OK, 5, 10);
			cluster.run(5_000);
			assertThat(third.isDone()).as("domain a is out").isFalse();
			assertThat(cluster.lent("e1")).isZero();
			(one.endpoint().value().equals("e2") ? one : two).end(Credit.Outcome.OK, 5, 10);
			assertThat(third.get(10, TimeUnit.SECONDS).get().endpoint().value()).isEqualTo("e2");
		}
	}

	@Test
	void waitingWorkIsRefusedWhenTheLastEndpointSaysThatItLeaves() throws Exception {
		try (CreditCluster cluster = new CreditCluster(1, "a1")) {
			cluster.list("a", 1, cluster.endpoint("e1", "a", false));
			cluster.run(3_000);
			cluster.service("a1").acquire(REQUEST).get();
			CompletableFuture<Either<Refusal, Credit>> second = waiting(cluster, "a1");
			cluster.load("one", true, 1, true);
			cluster.run(1_000);
			assertThat(reason(second.get(10, TimeUnit.SECONDS))).isEqualTo(RefusalReason.NO_ENDPOINT);
		}
	}

	@Test
	void newOwnerAdoptsRunningRequestsBeforeItLends() throws Exception {
		try (CreditCluster cluster = new CreditCluster(2, "a1", "a2", "b1")) {
			cluster.list("a", 1, cluster.endpoint("e1", "a", false));
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

	@Test
	void sixHostsTogetherNeverExceedTheCapacity() throws Exception {
		String[] hosts = { "a1", "a2", "b1", "b2", "c1", "c2" };
		try (CreditCluster cluster = new CreditCluster(3, hosts)) {
			cluster.list("a", 1, cluster.endpoint("e1", "a", false));
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
				for (int i = 0; i < 10_000 && running.get() < Math.min(3, left); i++) {
					cluster.run(50);
				}
				cluster.run(1_000);
				assertThat(running.get()).isEqualTo(Math.min(3, left));
				Credit ended = credits.poll(10, TimeUnit.SECONDS);
				running.decrementAndGet();
				ended.end(Credit.Outcome.OK, 5, 10);
			}
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
