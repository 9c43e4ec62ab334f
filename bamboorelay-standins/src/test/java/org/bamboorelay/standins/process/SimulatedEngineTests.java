package org.bamboorelay.standins.process;

import java.util.List;

import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.standins.connection.RequestRecord;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an engine stand-in that labels tokens with weights that did not generate
 * them, or sustains a load that a real engine would not.
 */
class SimulatedEngineTests {

	private final ManualClock clock = ManualClock.of(0);

	private final RequestRecord record = new RequestRecord(10);

	@Test
	void eventsCarryVersionThatGeneratedThem() {
		SimulatedEngine engine = engine(4, 0, 0);
		Generation stream = engine.submit(request("a", 10, true, "x"));
		this.clock.advance(600);
		engine.replaceWeights("cartas", 7);
		this.clock.advance(1_000);
		engine.advance();
		List<GenerationEvent> events = stream.poll();
		assertThat(events).hasSize(11);
		assertThat(events.subList(0, 5)).allMatch((event) -> event.weightVersion().equals("cartas@0"));
		assertThat(events.subList(5, 11)).allMatch((event) -> event.weightVersion().equals("cartas@7"));
		assertThat(events.get(10).finish()).isEqualTo("length");
	}

	@Test
	void coldEngineCrashesAboveColdCapacity() {
		SimulatedEngine engine = engine(8, 1_000, 0);
		Generation first = engine.submit(request("a", 10, true, "x"));
		Generation second = engine.submit(request("b", 10, true, "x"));
		assertThat(engine.load().incarnation()).isEqualTo(1);
		Generation third = engine.submit(request("c", 10, true, "x"));
		assertThat(List.of(first, second, third))
			.allMatch((stream) -> stream.poll().get(0).finish().equals(GenerationEvent.DROPPED));
		assertThat(engine.load().incarnation()).isEqualTo(2);
		assertThat(engine.load().warm()).isFalse();
		assertThat(this.record.counters()).containsEntry("cold_crashes", 1L);
	}

	@Test
	void warmEngineRunsUpToCapacityAndQueuesTheRest() {
		SimulatedEngine engine = engine(2, 1_000, 0);
		this.clock.advance(1_000);
		for (String id : List.of("a", "b", "c")) {
			engine.submit(request(id, 10, true, "x"));
		}
		assertThat(engine.load()).extracting(EngineLoad::running, EngineLoad::waiting, EngineLoad::incarnation)
			.containsExactly(2, 1, 1L);
	}

	@Test
	void silentlyColdEngineReportsWarm() {
		SimulatedEngine engine = engine(8, 1_000, 0);
		this.clock.advance(1_000);
		engine.makeCold(true);
		assertThat(engine.load().warm()).isTrue();
		engine.makeCold(false);
		assertThat(engine.load().warm()).isFalse();
	}

	@Test
	void interactiveRequestPrecedesRolloutRequest() {
		SimulatedEngine engine = engine(1, 0, 0);
		engine.submit(request("running", 1, false, "x"));
		Generation rollout = engine.submit(request("rollout", 1, false, "x"));
		Generation interactive = engine.submit(request("interactive", 1, true, "x"));
		this.clock.advance(250);
		engine.advance();
		assertThat(interactive.poll()).isNotEmpty();
		assertThat(rollout.poll()).isEmpty();
	}

	@Test
	void tokenRateDecreasesWithBatchSize() {
		SimulatedEngine engine = engine(2, 0, 0);
		Generation first = engine.submit(request("a", 100, true, "x"));
		engine.submit(request("b", 100, true, "x"));
		this.clock.advance(3_000);
		engine.advance();
		assertThat(first.poll()).hasSizeBetween(18, 20);
	}

	@Test
	void resumedRequestContinuesAfterResumedTokens() {
		SimulatedEngine engine = engine(1, 0, 0);
		Generation stream = engine.submit(new EngineRequest("a", "x", 10, true, "cartas", "", 8, 0));
		this.clock.advance(1_000);
		engine.advance();
		assertThat(stream.poll()).extracting(GenerationEvent::text).containsExactly(" t8", " t9", "");
	}

	@Test
	void cachedPrefixIsFasterOnlyWithSameSalt() {
		SimulatedEngine engine = engine(1, 0, 0);
		String prompt = "word ".repeat(400).trim();
		assertThat(firstTokenMillis(engine, prompt, "s")).isGreaterThan(1_500);
		assertThat(firstTokenMillis(engine, prompt, "s")).isLessThan(200);
		assertThat(firstTokenMillis(engine, prompt, "other")).isGreaterThan(1_500);
	}

	@Test
	void cancelledRequestFinishesAsCancelled() {
		SimulatedEngine engine = engine(1, 0, 0);
		Generation stream = engine.submit(request("a", 10, true, "x"));
		assertThat(engine.cancel("a")).isTrue();
		assertThat(stream.poll()).extracting(GenerationEvent::finish).containsExactly("cancelled");
		assertThat(engine.cancel("a")).isFalse();
	}

	@Test
	void loadReportIsDelayedByReportLag() {
		SimulatedEngine engine = engine(4, 0, 1_000);
		engine.advance();
		this.clock.advance(500);
		engine.submit(request("a", 100, true, "x"));
		engine.advance();
		assertThat(engine.load().running()).isZero();
		this.clock.advance(1_000);
		assertThat(engine.load().running()).isEqualTo(1);
	}

	private long firstTokenMillis(SimulatedEngine engine, String prompt, String salt) {
		long start = this.clock.millis();
		Generation stream = engine.submit(new EngineRequest("p", prompt, 1, true, "cartas", salt, 0, 0));
		while (stream.poll().isEmpty()) {
			this.clock.advance(10);
			engine.advance();
		}
		return this.clock.millis() - start;
	}

	private SimulatedEngine engine(int capacity, long coldStartMillis, long reportLagMillis) {
		EngineSettings settings = new EngineSettings(new EndpointIdentity("e", "s", "d"), capacity, 10,
				List.of("cartas"), coldStartMillis, 2, true, reportLagMillis, 0, 0, 64, false);
		return new SimulatedEngine(settings, this.clock, this.record, true);
	}

	private static EngineRequest request(String id, int maxTokens, boolean interactive, String prompt) {
		return new EngineRequest(id, prompt, maxTokens, interactive, "cartas", "", 0, 0);
	}

}
