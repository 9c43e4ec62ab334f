package org.bamboorelay.standins.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.standins.connection.Faults;
import org.bamboorelay.standins.connection.RequestRecord;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinResponse;
import org.bamboorelay.standins.connection.StandinServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a trainer stand-in that skips a batch, or stops after an empty or failed
 * fetch.
 */
class TrainerLoopTests {

	private final AtomicInteger fetches = new AtomicInteger();

	@Test
	@Timeout(20)
	void trainerRetriesFetchesUntilStepIsComplete() throws IOException {
		ManualClock clock = ManualClock.of(0);
		RequestRecord seen = new RequestRecord(100);
		RequestRecord got = new RequestRecord(100);
		try (StandinServer entry = StandinServer.open(0, this::serve, new Faults(), seen, clock);
				HttpConnectionPool pool = new HttpConnectionPool()) {
			TrainerSettings settings = new TrainerSettings("127.0.0.1:" + entry.port(), "k", "t", "s", "cartas", 2, 2,
					8, 1, 5, 0, 16, 0);
			new TrainerLoop(settings, pool, new BatchVerifier(got, 1), got, clock).run();
		}
		assertThat(got.counters()).containsEntry("steps", 1L)
			.containsEntry("batches", 2L)
			.containsEntry("samples", 2L)
			.containsEntry("status_503", 1L)
			.doesNotContainKey("samples_duplicate");
		assertThat(new String(seen.toNdjson(), StandardCharsets.UTF_8)).contains("/v1/trainers/t/weights",
				"/v1/trainers/t/steps/5/batches/2", "\"authorization\":[\"Bearer k\"]");
	}

	private StandinResponse serve(StandinRequest request) {
		if (!request.path().contains("/batches/")) {
			return StandinResponse.bytes(request.path().endsWith("/weights") ? 200 : 202, "application/json",
					new byte[0]);
		}
		return switch (this.fetches.getAndIncrement()) {
			case 0 -> StandinResponse.problem(202, "nothing is ready");
			case 1 -> StandinResponse.problem(503, "store-unavailable");
			case 2 -> batch("a");
			case 3 -> batch("b");
			default -> StandinResponse.bytes(204, "application/json", new byte[0]);
		};
	}

	private static StandinResponse batch(String id) {
		String body = "{\"samples\":[{\"id\":\"" + id + "\",\"spans\":[{\"weight_version\":\"cartas@5\"}]}]}";
		return StandinResponse.bytes(200, "application/json", body.getBytes(StandardCharsets.UTF_8));
	}

}
