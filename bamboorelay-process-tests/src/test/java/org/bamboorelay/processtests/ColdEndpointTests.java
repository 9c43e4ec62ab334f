package org.bamboorelay.processtests;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboorelay.processtests.Http.Standin;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against more load on a cold endpoint than it can bear.
 */
class ColdEndpointTests {

	private static final String FRESH = "modelo-2";

	/**
	 * Twenty-four callers are more than the warm endpoint's capacity of 16. With fewer,
	 * prefix affinity may rightly leave the fresh endpoint almost without work.
	 */
	private static final int CALLERS_PER_HOST = 4;

	/**
	 * Long enough for several answers after the owner's successor lends, so that an
	 * allowance that grows while the endpoint is cold exceeds what it bears. With 8,000
	 * it did not.
	 */
	private static final int COLD_MILLIS = 20_000;

	/**
	 * A fresh engine that bears two requests while cold joins under load from six entry
	 * hosts, and the owner of its allowance is killed while it is cold. Fails where an
	 * allowance starts at the capacity, and where a successor lends before the credits of
	 * its predecessor have lapsed. An engine that turns cold without saying so can crash
	 * once under the requests that it had accepted warm, and must not crash again.
	 */
	@Test
	void freshEndpointNeverCrashes() throws Exception {
		try (Deployment deployment = new Deployment("cold", 6, "valle-a")) {
			deployment.endpoint("modelo-1", Deployment.MODEL, "valle-a", false, "--tokens-per-second", "200",
					"--capacity", "16");
			deployment.set("plain_steady", "0");
			deployment.apply().ok();
			deployment.startAll();
			String key = deployment.grant();
			deployment.hostNames().forEach((host) -> deployment.awaitService(host, key, Deployment.MODEL));
			AtomicBoolean running = new AtomicBoolean(true);
			List<Thread> callers = callers(deployment, key, running);

			Standin fresh = deployment.endpoint(FRESH, Deployment.MODEL, "valle-a", false, "--tokens-per-second", "200",
					"--capacity", "16", "--cold-start-ms", "" + COLD_MILLIS, "--cold-bears", "2");
			Wait.until(Wait.START_MILLIS, "work at the fresh endpoint",
					() -> Http.get(fresh.address(), "/load").json().path("running").asInt() > 0);
			assertThat(Http.get(fresh.address(), "/load").json().path("warm").asBoolean()).as("still cold").isFalse();
			String owner = owner(deployment);
			deployment.program(owner).kill();
			Wait.until(Wait.START_MILLIS, "another owner", () -> !List.of(owner, "").contains(owner(deployment)));
			Wait.until(COLD_MILLIS + Wait.START_MILLIS, "warm endpoint", () -> {
				// An engine that crashes begins its cold start anew.
				assertThat(fresh.count("cold_crashes")).as("crashes of the fresh endpoint").isZero();
				return Http.get(fresh.address(), "/load").json().path("warm").asBoolean();
			});
			Wait.until(Wait.START_MILLIS, "use above what it bears cold",
					() -> Http.get(fresh.address(), "/load").json().path("running").asInt() > 2);

			fresh.fault("cold", "true");
			long completions = fresh.count("COMPLETION");
			Wait.until(COLD_MILLIS + Wait.START_MILLIS, "work after it turned cold",
					() -> fresh.count("COMPLETION") > completions + CALLERS_PER_HOST);
			Wait.until(COLD_MILLIS + Wait.START_MILLIS, "use above what it bears cold",
					() -> Http.get(fresh.address(), "/load").json().path("running").asInt() > 2);
			assertThat(fresh.count("cold_crashes")).as("crashes after it turned cold silently").isLessThanOrEqualTo(1);
			running.set(false);
			for (Thread caller : callers) {
				caller.join(Wait.START_MILLIS);
			}
		}
	}

	private static List<Thread> callers(Deployment deployment, String key, AtomicBoolean running) {
		List<Thread> callers = new ArrayList<>();
		deployment.hostNames().forEach((host) -> {
			for (int i = 0; i < CALLERS_PER_HOST; i++) {
				callers.add(new Thread(() -> {
					while (running.get()) {
						// A caller whose host was killed turns to another one.
						if (!deployment.complete(host, key, 40).isOk()) {
							deployment.complete(other(deployment, host), key, 40);
						}
					}
				}));
			}
		});
		callers.forEach(Thread::start);
		return callers;
	}

	private static String other(Deployment deployment, String host) {
		return deployment.hostNames()
			.stream()
			.filter((name) -> !name.equals(host) && deployment.program(name).isAlive())
			.findFirst()
			.orElseThrow();
	}

	private static String owner(Deployment deployment) {
		for (JsonNode endpoint : deployment.status(other(deployment, "")).path("endpoints")) {
			if (endpoint.path("endpoint").asText().equals(FRESH)) {
				return endpoint.path("owner").asText("");
			}
		}
		return "";
	}

	/**
	 * A service has its only endpoint in another domain. Fails where entry hosts learn of
	 * the endpoints of their own domain only.
	 */
	@Test
	void endpointOfAnotherDomainServes() {
		try (Deployment deployment = new Deployment("reach", 1, "valle-a", "valle-b")) {
			deployment.endpoint("cuotas-1", Deployment.PLAIN, "valle-a", false);
			deployment.set("model_steady", "0");
			deployment.apply().ok();
			deployment.startAll();
			String key = deployment.grant();
			deployment.awaitService("valle-a-1", key, Deployment.PLAIN);
			deployment.awaitService("valle-b-1", key, Deployment.PLAIN);
		}
	}

}
