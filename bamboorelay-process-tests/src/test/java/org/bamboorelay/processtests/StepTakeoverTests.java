package org.bamboorelay.processtests;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboorelay.processtests.Http.Reply;
import org.bamboorelay.processtests.Http.Standin;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against samples that are lost or delivered twice when an entry host is killed
 * while it runs a step.
 */
class StepTakeoverTests {

	private static final int PROMPTS = 4;

	private static final int SAMPLES = 4;

	/**
	 * The host that runs a step is killed while samples are generated, and the host of
	 * another step after it has written a batch record. Fails if no host takes over the
	 * step, or if a repeated fetch creates a new batch.
	 */
	@Test
	void trainerReceivesEverySlotOnceAfterHostIsKilled() throws Exception {
		try (Deployment deployment = new Deployment("steps", 1, "valle-a", "valle-b", "valle-c")) {
			List<Standin> engines = new ArrayList<>();
			for (String domain : List.of("valle-a", "valle-b", "valle-c")) {
				engines.add(deployment.endpoint("modelo-" + domain, Deployment.MODEL, domain, false,
						"--tokens-per-second", "100"));
			}
			deployment.set("plain_steady", "0");
			deployment.apply().ok();
			deployment.startAll();
			String key = deployment.grant();
			deployment.hostNames().forEach((host) -> deployment.awaitService(host, key, Deployment.MODEL));

			postStep(deployment, key, 1, 200);
			Wait.until(Wait.START_TIMEOUT_MILLIS, "running samples", () -> running(engines) >= SAMPLES);
			deployment.program("valle-a-1").kill();
			requireEverySlotOnce(deployment, key, 1, 0, List.of());

			deployment.program("valle-a-1").restart();
			deployment.awaitReady("valle-a-1");
			deployment.awaitService("valle-a-1", key, Deployment.MODEL);
			postStep(deployment, key, 2, 40);
			Reply first = fetchReady(deployment, "valle-a-1", key, 2, 0);
			assertThat(first.status()).as("first batch: " + first.text()).isEqualTo(200);
			deployment.program("valle-a-1").kill();
			Reply again = fetchReady(deployment, "valle-b-1", key, 2, 0);
			assertThat(again.text()).as("batch 0 from another host").isEqualTo(first.text());
			requireEverySlotOnce(deployment, key, 2, 1, List.of(first.json()));
		}
	}

	private static void postStep(Deployment deployment, String key, int step, int tokens) {
		Map<String, Object> body = Map.of("service", Deployment.MODEL, "prompts",
				List.of("Querida vecina", "Estimado socio", "Aviso de cuota", "Recordatorio"), "samples_per_prompt",
				SAMPLES, "max_tokens", tokens);
		Reply reply = Http.send(deployment.http("valle-a-1"), "POST",
				"/v1/trainers/" + Deployment.TRAINER + "/steps/" + step, key, body);
		assertThat(reply.status()).as("step " + step + ": " + reply.text()).isEqualTo(202);
	}

	private static Reply fetch(Deployment deployment, String host, String key, int step, int seq) {
		return Http.get(deployment.http(host),
				"/v1/trainers/" + Deployment.TRAINER + "/steps/" + step + "/batches/" + seq + "?max=4", key);
	}

	/** Fetches a batch like a trainer, with retries until the status is 200 or 204. */
	private static Reply fetchReady(Deployment deployment, String host, String key, int step, int seq) {
		Reply[] last = new Reply[1];
		Wait.until(2 * Wait.START_TIMEOUT_MILLIS, "batch " + seq + " of step " + step, () -> {
			last[0] = fetch(deployment, host, key, step, seq);
			return last[0].status() == 200 || last[0].status() == 204;
		});
		return last[0];
	}

	private static void requireEverySlotOnce(Deployment deployment, String key, int step, int firstSeq,
			List<JsonNode> earlier) {
		List<JsonNode> batches = new ArrayList<>(earlier);
		String[] hosts = { "valle-b-1", "valle-c-1" };
		int seq = firstSeq;
		for (Reply reply = fetchReady(deployment, hosts[0], key, step, seq); reply.status() == 200; seq++) {
			batches.add(reply.json());
			reply = fetchReady(deployment, hosts[(seq + 1) % 2], key, step, seq + 1);
		}
		Set<String> slots = new HashSet<>();
		Set<String> ids = new HashSet<>();
		for (JsonNode batch : batches) {
			assertThat(batch.path("expired")).as("expired samples of " + batch).isEmpty();
			for (JsonNode sample : batch.path("samples")) {
				assertThat(slots.add(sample.path("group") + "/" + sample.path("index"))).as("slot twice: " + sample)
					.isTrue();
				assertThat(ids.add(sample.path("id").asText())).as("sample twice: " + sample).isTrue();
			}
		}
		assertThat(slots).as("slots of step " + step).hasSize(PROMPTS * SAMPLES);
	}

	private static long running(List<Standin> engines) {
		return engines.stream()
			.mapToLong((engine) -> Http.get(engine.address(), "/load").json().path("running").asLong())
			.sum();
	}

}
