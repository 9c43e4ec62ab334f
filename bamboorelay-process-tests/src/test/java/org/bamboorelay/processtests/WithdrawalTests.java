package org.bamboorelay.processtests;

import java.util.List;
import java.util.Map;

import org.bamboorelay.processtests.Http.Reply;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a withdrawn key that is still accepted after 5 s.
 */
class WithdrawalTests {

	private static final int LONG_STREAM_TOKENS = 4_000;

	/**
	 * The object API and one entry host are down when a key is withdrawn. Fails if
	 * withdrawals are distributed through the store only, if running streams are not
	 * checked again, or if a restarted host does not query its peers.
	 */
	@Test
	void withdrawnKeyIsRefusedWhileStoreIsDown() throws Exception {
		try (Deployment deployment = new Deployment("withdrawal-store", 2, "valle-a", "valle-b")) {
			start(deployment, "valle-a", "valle-b");
			String valid = deployment.grant();
			String withdrawn = deployment.grant();
			List<String> hosts = List.of("valle-a-1", "valle-a-2", "valle-b-1");
			String restarted = "valle-b-2";
			for (String host : deployment.hostNames()) {
				deployment.awaitService(host, valid, Deployment.PLAIN);
				deployment.awaitService(host, withdrawn, Deployment.PLAIN);
				deployment.awaitService(host, withdrawn, Deployment.MODEL);
			}
			List<CallerStream> streams = hosts.stream()
				.map((host) -> CallerStream.open(deployment.http(host), withdrawn, LONG_STREAM_TOKENS))
				.toList();
			CallerStream other = CallerStream.open(deployment.http("valle-a-1"), valid, LONG_STREAM_TOKENS);
			Wait.until(Wait.START_TIMEOUT_MILLIS, "tokens on all streams",
					() -> other.hasTokens() && streams.stream().allMatch(CallerStream::hasTokens));

			deployment.platform("object-api").fault("down", "true");
			deployment.program(restarted).kill();
			deployment.operator("key", "withdraw", withdrawn).ok();
			long accepted = System.nanoTime();
			for (String host : hosts) {
				Wait.until(remaining(accepted), "refusal of the withdrawn key at " + host,
						() -> isRefused(deployment.plain(host, withdrawn)));
			}
			for (CallerStream stream : streams) {
				Wait.until(remaining(accepted), "end of a stream of the withdrawn key", stream::isEnded);
				assertThat(stream.text()).contains("withdrawn-key");
			}
			deployment.program(restarted).restart();
			deployment.awaitReady(restarted);
			Reply replyOfRestarted = deployment.plain(restarted, withdrawn);
			assertThat(isRefused(replyOfRestarted)).as("withdrawn key at a restarted host: " + replyOfRestarted)
				.isTrue();
			for (String host : deployment.hostNames()) {
				deployment.awaitService(host, valid, Deployment.PLAIN);
			}
			assertThat(other.isEnded()).as("stream of the other key: " + other.isEnded()).isFalse();

			deployment.platform("object-api").clear("down");
			Wait.until(Wait.START_TIMEOUT_MILLIS, "the withdrawal in a configuration version",
					() -> deployment.operator("show").text().contains(sha256(withdrawn)));
		}
	}

	/**
	 * A failure domain is disconnected from the platform and from the other domains.
	 * Fails if a host with a stale view still accepts keys.
	 */
	@Test
	void disconnectedDomainRefusesKeyedRequests() throws Exception {
		try (Deployment deployment = new Deployment("withdrawal-cut", 1, "valle-a", "valle-b", "valle-c")) {
			start(deployment, "valle-a", "valle-b", "valle-c");
			String valid = deployment.grant();
			String withdrawn = deployment.grant();
			for (String host : deployment.hostNames()) {
				deployment.awaitService(host, valid, Deployment.PLAIN);
				deployment.awaitService(host, withdrawn, Deployment.PLAIN);
			}
			deployment.setOperatorHosts("valle-a-1", "valle-b-1");
			deployment.disconnectPeers("valle-c");
			deployment.store("valle-c").halfOpen();
			deployment.operator("key", "withdraw", withdrawn).ok();
			long accepted = System.nanoTime();
			for (String host : deployment.hostNames()) {
				Wait.until(remaining(accepted), "refusal of the withdrawn key at " + host,
						() -> isRefused(deployment.plain(host, withdrawn)));
			}
			Wait.until(remaining(accepted), "refusal of all keys at the cut host",
					() -> deployment.plain("valle-c-1", valid).status() == 503);
			Reply stale = deployment.plain("valle-c-1", valid);
			assertThat(stale.json().path("reason").asText()).as(stale.text()).isEqualTo("stale-view");
			assertThat(stale.json().path("run").asText()).as(stale.text()).isEqualTo("no");
			assertThat(deployment.plain("valle-a-1", valid).status()).as("other domains go on").isEqualTo(200);
			Reply open = Http.get(deployment.http("valle-c-1"), "/services/" + Deployment.PLAIN + "/public/horario");
			assertThat(open.status()).as("open route at the cut host: " + open.text()).isEqualTo(200);

			deployment.healPeers();
			deployment.store("valle-c").heal();
			deployment.awaitService("valle-c-1", valid, Deployment.PLAIN);
			assertThat(isRefused(deployment.plain("valle-c-1", withdrawn))).as("withdrawn key after the cut").isTrue();
		}
	}

	private static void start(Deployment deployment, String... domains) {
		for (String domain : domains) {
			deployment.endpoint("cuotas-" + domain, Deployment.PLAIN, domain, false);
			deployment.endpoint("modelo-" + domain, Deployment.MODEL, domain, false, "--tokens-per-second", "40");
		}
		deployment.apply().ok();
		deployment.startAll();
	}

	private static boolean isRefused(Reply reply) {
		return Map.of(401, true, 403, true, 503, reply.text().contains("stale-view"))
			.getOrDefault(reply.status(), false);
	}

	private static long remaining(long acceptedNanos) {
		return Wait.PROPAGATION_LIMIT_MILLIS - Wait.millisSince(acceptedNanos);
	}

	private static String sha256(String key) {
		return org.bamboorelay.core.version.KeyHash.ofKey(key).value();
	}

}
