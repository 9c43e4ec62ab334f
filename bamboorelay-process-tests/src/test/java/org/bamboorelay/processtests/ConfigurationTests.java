package org.bamboorelay.processtests;

import java.util.ArrayList;
import java.util.List;

import org.bamboorelay.processtests.Deployment.OperatorResult;
import org.bamboorelay.processtests.Http.Standin;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a configuration that is distributed late, replaced by an older version
 * or overwritten by the change of another operator.
 */
class ConfigurationTests {

	private static final String HEAD_PATH = "/objects/config/head";

	private static final int CONFIGURATION_PARTS = 4;

	/**
	 * Two operators change the same version concurrently; later an entry host restarts
	 * while the object API is down. Fails if writes are not conditional, if changes are
	 * not distributed, or if a restarting host does not query its peers.
	 */
	@Test
	void newestVersionIsActiveOnAllHosts() throws Exception {
		try (Deployment deployment = new Deployment("configuration", 2, "valle-a", "valle-b")) {
			deployment.set("plain_steady", "0");
			deployment.set("model_steady", "0");
			deployment.apply().ok();
			deployment.startAll();
			deployment.hostNames().forEach((host) -> awaitVersion(deployment, host, 1, Wait.START_TIMEOUT_MILLIS));

			// Both operators read the version before either of them can write the next
			// one.
			deployment.platform("object-api").fault("slow", "{\"ms\":500,\"match\":\"config/\"}");
			deployment.set("window", "7s");
			Program first = deployment.applyStart("first", "--expect", "1");
			deployment.set("window", "9s");
			Program second = deployment.applyStart("second", "--expect", "1");
			OperatorResult firstResult = OperatorResult.of(first);
			OperatorResult secondResult = OperatorResult.of(second);
			deployment.platform("object-api").clear("slow");
			boolean firstWon = firstResult.code() == 0;
			OperatorResult winner = firstWon ? firstResult : secondResult;
			OperatorResult loser = firstWon ? secondResult : firstResult;
			assertThat(List.of(winner.code(), loser.code())).as(firstResult + " " + secondResult).containsExactly(0, 3);
			long version = winner.json().path("version").asLong();
			assertThat(version).isEqualTo(2);
			assertThat(loser.json().toString()).as("winning version in the loser's answer").contains(":" + version);
			awaitVersionOnAllHosts(deployment, version, System.nanoTime());
			assertThat(deployment.operator("show").text()).contains("\"window_millis\":" + (firstWon ? 7 : 9) + "000");

			deployment.set("window", "5s");
			long newest = deployment.apply().ok().json().path("version").asLong();
			awaitVersionOnAllHosts(deployment, newest, System.nanoTime());
			deployment.platform("object-api").fault("down", "true");
			String restarted = "valle-b-2";
			deployment.program(restarted).restart();
			List<Long> observed = new ArrayList<>();
			Wait.until(Wait.START_TIMEOUT_MILLIS, "ready without the store", () -> {
				Http.Reply health = Http.get(deployment.http(restarted), "/health/ready");
				if (health.status() != 0) {
					observed.add(health.json().path("config_version").asLong());
				}
				return health.isOk();
			});
			awaitVersion(deployment, restarted, newest, Wait.PROPAGATION_LIMIT_MILLIS);
			assertThat(observed).as("versions of the restarted host").isSubsetOf(0L, newest);
			assertThat(observed.get(observed.size() - 1)).as("version when ready").isEqualTo(newest);
			deployment.platform("object-api").clear("down");
			deployment.set("window", "6s");
			long last = deployment.apply().ok().json().path("version").asLong();
			assertThat(last).isEqualTo(newest + 1);
			awaitVersionOnAllHosts(deployment, last, System.nanoTime());
		}
	}

	/**
	 * A starting host reads the configuration from a slow store and receives a newer
	 * version from its peers before that read completes. Fails if an older version
	 * replaces a newer one.
	 */
	@Test
	void slowReadDoesNotRestoreOlderVersion() throws Exception {
		try (Deployment deployment = new Deployment("configuration-slow", 1, "valle-a", "valle-b")) {
			deployment.set("plain_steady", "0");
			deployment.set("model_steady", "0");
			deployment.apply().ok();
			deployment.startAll();
			deployment.hostNames().forEach((host) -> awaitVersion(deployment, host, 1, Wait.START_TIMEOUT_MILLIS));
			String slow = "valle-a-1";
			Standin store = deployment.platform("object-api");
			// The processes that already run have cached the parts, which do not change.
			store.fault("slow", "{\"ms\":1000,\"match\":\"config/parts\"}");
			long parts = partReads(store);
			deployment.program(slow).restart();
			Wait.until(Wait.START_TIMEOUT_MILLIS, "first part read slowly", () -> partReads(store) > parts);
			String head = Http.get(store.address(), HEAD_PATH).ok().text();
			Http.send(store.address(), "PUT", HEAD_PATH, "", head.replace("\"version\":1,", "\"version\":2,")).ok();
			awaitVersion(deployment, slow, 2, Wait.PROPAGATION_LIMIT_MILLIS);
			assertThat(partReads(store)).as("parts read before the newer version")
				.isLessThan(parts + CONFIGURATION_PARTS);
			Wait.until(Wait.START_TIMEOUT_MILLIS, "end of the slow read",
					() -> partReads(store) == parts + CONFIGURATION_PARTS);
			assertThat(deployment.program(slow).log()).as("slow read").doesNotContain("config.store-unread");
			long end = System.nanoTime();
			while (Wait.millisSince(end) < Wait.PROPAGATION_LIMIT_MILLIS) {
				assertThat(deployment.status(slow).path("config_version").asLong()).as("version after the slow read")
					.isEqualTo(2);
			}
		}
	}

	private static long partReads(Standin store) {
		return Http.get(store.address(), "/_record")
			.ok()
			.text()
			.lines()
			.filter((line) -> line.contains("\"method\":\"GET\"") && line.contains("/objects/config/parts/"))
			.count();
	}

	private static void awaitVersionOnAllHosts(Deployment deployment, long version, long acceptedNanos) {
		deployment.hostNames()
			.forEach((host) -> awaitVersion(deployment, host, version,
					Wait.PROPAGATION_LIMIT_MILLIS - Wait.millisSince(acceptedNanos)));
	}

	private static void awaitVersion(Deployment deployment, String host, long version, long limitMillis) {
		Wait.until(limitMillis, "version " + version + " at " + host,
				() -> deployment.status(host).path("config_version").asLong() == version);
	}

}
