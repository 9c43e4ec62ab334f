package org.bamboorelay.entry.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.entry.request.Credit;
import org.bamboorelay.entry.request.RouteRequest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against work that reaches endpoints which must get none, and against more
 * running requests than an endpoint allows, over several hosts.
 */
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
			List<CompletableFuture<Integer>> lenders = new ArrayList<>();
			for (String host : hosts) {
				lenders.add(CompletableFuture.supplyAsync(() -> useUntilFull(cluster, host)));
			}
			int most = 0;
			for (CompletableFuture<Integer> lender : lenders) {
				most = Math.max(most, lender.get(30, TimeUnit.SECONDS));
			}
			assertThat(most).isBetween(1, 3);
		}
	}

	private static int useUntilFull(CreditCluster cluster, String host) {
		int most = 0;
		for (int i = 0; i < 200; i++) {
			Credit credit = cluster.service(host).acquire(REQUEST).get();
			most = Math.max(most, cluster.lent("e1"));
			credit.end(Credit.Outcome.OK, 5, 10);
			cluster.services.values().forEach((service) -> service.digests().size());
			cluster.clock.advance(1);
			cluster.services.values().forEach(CreditService::tick);
		}
		return most;
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
