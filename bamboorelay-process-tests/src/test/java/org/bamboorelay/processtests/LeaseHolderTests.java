package org.bamboorelay.processtests;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

import org.bamboorelay.processtests.Http.RecordedRequest;
import org.bamboorelay.processtests.Http.Standin;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against orders from two control processes that both consider themselves the
 * lease holder.
 */
class LeaseHolderTests {

	private static final String DOMAIN = "valle-a";

	private static final int ENDPOINTS = 4;

	/**
	 * A lease holder is frozen while it sends a list of orders, another process takes
	 * over the lease, and then the first one resumes within its list. Fails if an order
	 * is sent without checking the lease before its last byte.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void frozenHolderSendsNoOrderAfterTakeover(boolean fenced) {
		try (Deployment deployment = new Deployment("lease-" + fenced, 2, DOMAIN)) {
			Standin ordering = deployment.platform("ordering");
			if (!fenced) {
				ordering.fault("ignore-fencing", "true");
			}
			for (int i = 1; i <= ENDPOINTS; i++) {
				deployment.endpoint("cuotas-" + i, Deployment.PLAIN, DOMAIN, true);
			}
			List<Standin> engines = List.of(engine(deployment, 1, fenced), engine(deployment, 2, fenced),
					engine(deployment, 3, fenced));
			deployment.set("fenced", "" + fenced);
			deployment.set("plain_steady", "0");
			deployment.apply().ok();
			String first = DOMAIN + "-1";
			String second = DOMAIN + "-2";
			deployment.control(first);
			Wait.until(Wait.START_TIMEOUT_MILLIS, "first holder", () -> fencing(deployment, first) > 0);
			deployment.control(second);
			Wait.until(Wait.START_TIMEOUT_MILLIS, "second control process",
					() -> deployment.controlHealth(second).path("config_version").asLong() > 0);
			weights(deployment, 1);
			Wait.until(Wait.START_TIMEOUT_MILLIS, "weights 1 on all engines",
					() -> engines.stream().allMatch(onVersion(1)));

			// The holder is frozen before it reads its first response, so that the rest
			// of its list is still unsent, however slowly this test runs.
			AtomicInteger responses = new AtomicInteger();
			deployment.ordering().beforeResponse((request) -> {
				if (request.startsWith("POST /orders") && responses.incrementAndGet() == 1) {
					deployment.program(first + "-control").freeze();
				}
			});
			deployment.set("plain_steady", "" + ENDPOINTS);
			deployment.apply().ok();
			Wait.until(Wait.START_TIMEOUT_MILLIS, "first order", () -> !ordering.recordedRequests("/orders").isEmpty());
			Wait.until(Wait.TAKEOVER_TIMEOUT_MILLIS, "second holder", () -> fencing(deployment, second) > 0);
			engines.forEach((engine) -> engine.fault("slow", "{\"ms\":500,\"match\":\"/orders\"}"));
			weights(deployment, 2);
			Wait.until(Wait.START_TIMEOUT_MILLIS, "a weight order of the second holder",
					() -> engines.stream().anyMatch(onVersion(2)));
			deployment.program(first + "-control").resume();

			// If the order is not withheld, the record of the stand-in shows it.
			Wait.until(Wait.START_TIMEOUT_MILLIS, "next order of the first holder",
					() -> deployment.program(first + "-control").log().contains("lease-lost")
							|| !fencingRises(ordering.recordedRequests("/orders")));
			// The first order of the second holder may still wait for its response; its
			// presence is checked at the end.
			assertThat(fencingRises(ordering.recordedRequests("/orders")))
				.as("rising fencing: " + ordering.recordedRequests("/orders"))
				.isTrue();
			Wait.until(Wait.START_TIMEOUT_MILLIS, "end of the first holder's term",
					() -> fencing(deployment, first) == 0);
			Wait.until(Wait.START_TIMEOUT_MILLIS, "all endpoints started", () -> started(ordering).size() >= ENDPOINTS);
			Wait.until(Wait.START_TIMEOUT_MILLIS, "weights 2 on all engines",
					() -> engines.stream().allMatch(onVersion(2)));
			requireFencingRises("ordering", ordering.recordedRequests("/orders"));
			engines.forEach((engine) -> requireFencingRises(engine.address(), engine.recordedRequests("/orders")));
			assertThat(started(ordering)).as("orders that started an endpoint").hasSize(ENDPOINTS);
		}
	}

	private static Standin engine(Deployment deployment, int number, boolean fenced) {
		return deployment.endpoint("modelo-" + number, Deployment.MODEL, DOMAIN, false, "--honours-fencing",
				"" + fenced);
	}

	private static java.util.function.Predicate<Standin> onVersion(long version) {
		return (engine) -> Http.get(engine.address(), "/load")
			.json()
			.path("weight_versions")
			.path(Deployment.TRAINER)
			.asLong() == version;
	}

	private static void weights(Deployment deployment, long version) {
		Http.send(deployment.platform("object-api").address(), "PUT",
				"/objects/weights/" + Deployment.MODEL + "/" + Deployment.TRAINER, "", Map.of("version", version))
			.ok();
	}

	private static long fencing(Deployment deployment, String host) {
		return deployment.controlHealth(host).path("domain_lease_fencing").asLong();
	}

	private static Set<String> started(Standin ordering) {
		Set<String> ids = new HashSet<>();
		ordering.recordedRequests("/orders")
			.stream()
			.filter((seen) -> seen.outcome().startsWith("200 started"))
			.forEach((seen) -> ids.add(seen.body().path("order_id").asText()));
		return ids;
	}

	private static boolean fencingRises(List<RecordedRequest> orders) {
		List<Long> numbers = orders.stream().map((order) -> order.body().path("fencing").asLong()).toList();
		return numbers.equals(numbers.stream().sorted().toList());
	}

	private static void requireFencingRises(String receiver, List<RecordedRequest> orders) {
		long highest = 0;
		for (RecordedRequest order : orders) {
			long number = order.body().path("fencing").asLong();
			assertThat(number).as("fencing number at " + receiver + " of " + order).isGreaterThanOrEqualTo(highest);
			highest = number;
		}
		assertThat(highest).as("fencing numbers at " + receiver).isGreaterThan(1);
	}

}
