package org.bamboorelay.processtests;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboorelay.processtests.Http.Reply;
import org.bamboorelay.processtests.Http.Standin;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an outage of the object API that stops requests, loses samples or ends
 * with a burst of retries.
 */
class StoreOutageTests {

	private static final long OUTAGE_MILLIS = 30_000;

	private static final int SLOTS = 8;

	/**
	 * Maximum calls in a second of recovery, as a multiple of the calls in the busiest
	 * second before the outage. Waiting processes may all retry at the same time, but
	 * each makes only its usual calls, so the load at most doubles.
	 */
	private static final int RECOVERY_FACTOR = 2;

	/**
	 * The object API is down for 30 s during plain requests and an unfinished delivery,
	 * and slow afterwards. Fails if requests depend on the store, if a step does not
	 * survive the outage, or if processes retry calls without backoff.
	 */
	@Test
	void requestsAreServedAndDeliveryResumesAfterOutage() throws Exception {
		try (Deployment deployment = new Deployment("outage", 2, "valle-a", "valle-b")) {
			for (String domain : List.of("valle-a", "valle-b")) {
				deployment.endpoint("cuotas-" + domain, Deployment.PLAIN, domain, false);
				deployment.endpoint("modelo-" + domain, Deployment.MODEL, domain, false, "--tokens-per-second", "200");
			}
			Standin store = deployment.platform("object-api");
			deployment.apply().ok();
			deployment.startAll();
			String key = deployment.grant();
			deployment.hostNames().forEach((host) -> {
				deployment.awaitService(host, key, Deployment.PLAIN);
				deployment.awaitService(host, key, Deployment.MODEL);
			});
			String steps = "/v1/trainers/" + Deployment.TRAINER + "/steps/1";
			assertThat(Http
				.send(deployment.http("valle-a-1"), "POST", steps, key, Map.of("service", Deployment.MODEL, "prompts",
						List.of("Aviso", "Recordatorio"), "samples_per_prompt", SLOTS / 2, "max_tokens", 40))
				.status()).isEqualTo(202);
			Set<String> slots = new HashSet<>();
			fetchBatch(deployment, steps, key, 0, slots);
			// Records the rate of store calls before the outage.
			long steadyUntil = System.nanoTime() + 5_000_000_000L;
			Wait.until(Wait.START_TIMEOUT_MILLIS, "steady phase", () -> System.nanoTime() > steadyUntil);

			store.fault("down", "true");
			long down = System.nanoTime();
			boolean refused = false;
			while (Wait.millisSince(down) < OUTAGE_MILLIS) {
				for (String host : deployment.hostNames()) {
					Reply reply = deployment.plain(host, key);
					assertThat(reply.status())
						.as("plain request at " + host + " " + Wait.millisSince(down) + " ms into the outage: "
								+ reply.text())
						.isEqualTo(200);
				}
				if (!refused) {
					Reply reply = Http.get(deployment.http("valle-a-1"), steps + "/batches/1?max=4", key);
					assertThat(reply.status()).as("batch without the store: " + reply.text()).isEqualTo(503);
					assertThat(reply.json().path("run").asText()).isEqualTo("no");
					refused = true;
				}
			}
			store.fault("slow", "200");
			store.clear("down");
			long up = System.nanoTime();
			int seq = 1;
			while (fetchBatch(deployment, steps, key, seq, slots)) {
				seq++;
			}
			assertThat(slots).as("slots of the step").hasSize(SLOTS);
			Wait.until(Wait.START_TIMEOUT_MILLIS, "leases after the outage",
					() -> deployment.hostNames()
						.stream()
						.anyMatch((host) -> deployment.controlHealth(host).path("usage_lease_fencing").asLong() > 0));
			Wait.until(Wait.START_TIMEOUT_MILLIS, "10 s of recovery", () -> Wait.millisSince(up) > 10_000);
			requireNoRetryBurst(store);
		}
	}

	private static boolean fetchBatch(Deployment deployment, String steps, String key, int seq, Set<String> slots) {
		Reply[] last = new Reply[1];
		Wait.until(Wait.START_TIMEOUT_MILLIS, "batch " + seq, () -> {
			last[0] = Http.get(deployment.http("valle-a-1"), steps + "/batches/" + seq + "?max=4", key);
			return last[0].status() == 200 || last[0].status() == 204;
		});
		for (JsonNode sample : last[0].json().path("samples")) {
			assertThat(slots.add(sample.path("group") + "/" + sample.path("index"))).as("slot twice: " + sample)
				.isTrue();
		}
		return last[0].status() == 200;
	}

	private static void requireNoRetryBurst(Standin store) {
		Map<Long, Integer> steady = new TreeMap<>();
		Map<Long, Integer> later = new TreeMap<>();
		boolean[] outageStarted = new boolean[1];
		Http.get(store.address(), "/_record").ok().text().lines().forEach((line) -> {
			JsonNode call = new Reply(200, line).json();
			outageStarted[0] |= call.path("outcome").asText().contains("fault: down");
			Map<Long, Integer> phase = steady;
			if (outageStarted[0]) {
				phase = later;
			}
			phase.merge(call.path("at_ms").asLong() / 1_000, 1, Integer::sum);
		});
		int busiest = steady.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		assertThat(later.values()).as("calls a second in and after the outage; before it " + steady)
			.allMatch((calls) -> calls <= RECOVERY_FACTOR * busiest);
		System.out.println("calls a second before the outage " + steady + ", later " + later);
	}

}
