package org.bamboorelay.entry.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.version.TrainerId;
import org.bamboorelay.entry.connection.EngineClient.Finish;
import org.bamboorelay.entry.connection.EngineFailure;
import org.bamboorelay.entry.request.RolloutTestCluster.Host;
import org.bamboorelay.entry.request.RolloutTestCluster.Reply;
import org.bamboorelay.runtime.request.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against samples that are delivered twice, lost, or labelled with wrong weight
 * versions when hosts, engines or the store fail.
 */
class RolloutRoutesTests {

	private static final String TRAINER = "cartas";

	private final RolloutTestCluster cluster = new RolloutTestCluster("a-1", "b-1", "c-1");

	private final Host a = this.cluster.hosts.get("a-1");

	private final Host b = this.cluster.hosts.get("b-1");

	private final Host c = this.cluster.hosts.get("c-1");

	@Test
	void stepIsDeliveredInBatchesUntilComplete() {
		start(2, 2);
		Reply first = fetch(this.a, 0, 3);
		assertThat(first.slots()).containsExactly("0.0", "0.1", "1.0");
		assertThat(spans(first)).startsWith("cartas@1:2");
		assertThat(fetch(this.a, 1, 3).slots()).containsExactly("1.1");
		assertThat(fetch(this.a, 2, 3).status()).isEqualTo(204);
		assertThat(this.cluster.recordedUsage).containsExactly(2L, 2L, 2L, 2L);
		assertThat(this.cluster.hosts.values()).noneMatch(Host::holdsSamples);
	}

	@Test
	void repeatedStepIsAcceptedAndConflictingStepIsRefused() {
		Reply answer = this.a.post(TRAINER, 1, RolloutTestCluster.step(1, 1));
		assertThat(this.b.post(TRAINER, 1, RolloutTestCluster.step(1, 1))).isEqualTo(answer);
		assertThat(this.b.post(TRAINER, 1, RolloutTestCluster.step(1, 2)).status()).isEqualTo(409);
		assertThat(this.b.post("otros", 1, RolloutTestCluster.step(1, 1)).status()).isEqualTo(403);
		assertThat(fetch(this.a, 1, 1).status()).isEqualTo(409);
	}

	@Test
	void lowerWeightVersionIsRefused() {
		assertThat(this.a.weights(TRAINER, 3).status()).isEqualTo(200);
		this.cluster.store.responsesToLose = 1;
		assertThat(this.b.weights(TRAINER, 4).status()).isEqualTo(200);
		assertThat(this.b.weights(TRAINER, 4).status()).isEqualTo(200);
		assertThat(this.a.weights(TRAINER, 3).status()).isEqualTo(409);
	}

	@Test
	void weightSwapDuringStreamYieldsTwoSpans() {
		engine("engine-1", "cartas@1", "cartas@1", "cartas@2");
		start(1, 1);
		assertThat(spans(fetch(this.a, 0, 9))).containsExactly("cartas@1:2", "cartas@2:1");
	}

	@Test
	void failedWeightSwapKeepsOldVersionLabel() {
		this.a.weights(TRAINER, 2);
		start(1, 1);
		assertThat(spans(fetch(this.a, 0, 9))).containsExactly("cartas@1:2");
	}

	@Test
	void invalidlyLabelledStreamRestartsAtAnotherEndpoint() {
		String[][] streams = { { "cartas@2", "cartas@1" }, { "cartas@1", null }, { "avisos@1" }, {} };
		for (int step = 0; step < streams.length; step++) {
			engine("engine-1", streams[step]);
			this.a.post(TRAINER, step, RolloutTestCluster.step(1, 1));
			this.cluster.runTasks();
		}
		assertThat(this.cluster.counter("retries_total{reason=\"bad-label\"}")).isEqualTo(4);
		assertThat(this.cluster.streams.stream().filter((stream) -> !stream.resumeText().isEmpty())).isEmpty();
	}

	@Test
	void resumeOnOlderWeightsKeepsBothSpansAndOldestVersion() {
		this.cluster.engineScripts.put("engine-1", (request, listener) -> {
			listener.onEvent(RolloutTestCluster.event(0, "cartas@2"));
			return Either.left(new EngineFailure.Truncated("crashed"));
		});
		engine("engine-2", "cartas@1");
		start(1, 1);
		assertThat(this.cluster.streams.get(1).resumeText()).isEqualTo(" t");
		Reply batch = fetch(this.a, 0, 9);
		assertThat(spans(batch)).containsExactly("cartas@2:1", "cartas@1:1");
		assertThat(this.b.fetch(TRAINER, 1, 0, 9, 3).body().path("expired")).hasSize(1);
	}

	@Test
	void versionRaisedBeforeBatchRecordRegeneratesSamples() {
		start(1, 2);
		this.b.weights(TRAINER, 3);
		this.cluster.engineVersion = 3;
		assertThat(fetch(this.a, 0, 9).status()).isEqualTo(202);
		this.cluster.runTasks();
		assertThat(spans(fetch(this.a, 0, 9))).containsExactly("cartas@3:2", "cartas@3:2");
	}

	@Test
	void versionRaisedAfterBatchRecordExpiresSamples() {
		start(1, 2);
		Reply first = fetch(this.a, 0, 9);
		this.b.weights(TRAINER, 3);
		Reply again = fetch(this.a, 0, 9);
		assertThat(again.ids()).isEmpty();
		assertThat(again.body().path("expired")).extracting((id) -> id.asText()).isEqualTo(first.ids());
	}

	@Test
	void tightenedStalenessBoundAppliesToRunningSteps() {
		this.cluster.maxVersions = 2;
		start(1, 1);
		this.b.weights(TRAINER, 3);
		assertThat(fetch(this.a, 0, 9).ids()).hasSize(1);
		this.cluster.maxVersions = 1;
		assertThat(fetch(this.a, 0, 9).ids()).isEmpty();
	}

	@Test
	void stepOfStoppedHostIsTakenOver() {
		start(1, 2);
		Reply batch = fetch(this.a, 0, 1);
		this.a.routes.stopSteps();
		assertThat(fetch(this.b, 0, 1)).isEqualTo(batch);
		this.cluster.runTasks();
		assertThat(fetch(this.b, 1, 1).slots()).containsExactly("0.1");
	}

	@Test
	void runningSampleBeyondStalenessBoundIsCancelled() {
		this.cluster.engineScripts.put("engine-1", (request, listener) -> {
			listener.onEvent(RolloutTestCluster.event(0, "cartas@1"));
			this.a.weights(TRAINER, 3);
			assertThat(listener.onEvent(RolloutTestCluster.event(1, "cartas@1"))).isFalse();
			this.cluster.engineVersion = 3;
			return Either.right(new Finish("cancelled", 1, 1));
		});
		start(1, 1);
		assertThat(spans(fetch(this.a, 0, 9))).containsExactly("cartas@3:2");
		assertThat(this.cluster.counter("retries_total{reason=\"too-old\"}")).isEqualTo(1);
	}

	@Test
	void stragglerIsResumedAtAnotherEndpointAndSlowerAttemptIsCancelled() {
		List<Boolean> continued = new ArrayList<>();
		List<String> aborted = new ArrayList<>();
		this.cluster.engineScripts.put("engine-1", (request, listener) -> {
			listener.onOpen(() -> aborted.add(request.requestId()));
			this.cluster.clock.advance(10);
			listener.onEvent(RolloutTestCluster.event(0, "cartas@1"));
			if (this.cluster.streams.size() == 5) {
				this.cluster.clock.advance(25);
				this.a.routes.tick();
				this.cluster.runTasks();
				assertThat(aborted).containsExactly(request.requestId());
				continued.add(listener.onEvent(RolloutTestCluster.event(1, "cartas@1")));
			}
			return Either.right(new Finish("stop", 1, 1));
		});
		start(1, 5);
		assertThat(continued).containsExactly(false);
		assertThat(this.cluster.streams).hasSize(6);
		assertThat(this.cluster.streams.get(5).resumeText()).isEqualTo(" t");
		assertThat(fetch(this.a, 0, 9).slots()).hasSize(5);
		assertThat(fetch(this.a, 1, 9).status()).isEqualTo(204);
	}

	@Test
	void holderFailedBeforeBatchRecordIsReplaced() {
		start(1, 1);
		this.cluster.secondHolder(this.a).unreachable = true;
		Reply batch = fetch(this.a, 0, 9);
		this.a.unreachable = true;
		Host third = this.b.unreachable ? this.c : this.b;
		assertThat(fetch(third, 0, 9)).isEqualTo(batch);
	}

	@Test
	void batchSurvivesFailureOfOneHolder() {
		start(1, 2);
		Reply batch = fetch(this.a, 0, 1);
		this.a.unreachable = true;
		assertThat(fetch(this.b, 0, 9)).isEqualTo(batch);
		this.cluster.runTasks();
		assertThat(fetch(this.c, 1, 9).slots()).containsExactly("0.1");
		assertThat(fetch(this.c, 2, 9).status()).isEqualTo(204);
		assertThat(this.cluster.recordedUsage).hasSize(2);
	}

	@Test
	void sampleWithoutSecondHolderIsNotDelivered() {
		this.b.unreachable = true;
		this.c.unreachable = true;
		this.a.post(TRAINER, 1, RolloutTestCluster.step(1, 1));
		this.cluster.tasks.removeFirst().run();
		assertThat(fetch(this.a, 0, 9).status()).isEqualTo(202);
		this.b.unreachable = false;
		this.cluster.runTasks();
		assertThat(fetch(this.a, 0, 9).status()).isEqualTo(200);
	}

	@Test
	void lostStoreResponseYieldsOneBatchRecord() {
		start(1, 2);
		this.cluster.store.responsesToLose = 1;
		Reply batch = fetch(this.a, 0, 1);
		assertThat(batch.slots()).containsExactly("0.0");
		assertThat(fetch(this.a, 0, 1)).isEqualTo(batch);
		assertThat(fetch(this.a, 1, 1).slots()).containsExactly("0.1");
		assertThat(this.cluster.store.list("delivery/").get()).hasSize(2);
		assertThat(this.cluster.recordedUsage).hasSize(2);
	}

	@Test
	void unavailableStoreDelaysDelivery() {
		start(1, 1);
		this.cluster.store.down = true;
		Reply refused = fetch(this.a, 0, 9);
		assertThat(refused.status()).isEqualTo(503);
		assertThat(refused.body().path("reason").asText()).isEqualTo("store-unavailable");
		this.cluster.store.down = false;
		assertThat(fetch(this.a, 0, 9).status()).isEqualTo(200);
	}

	@Test
	void repeatedFetchAtAnotherHostReturnsSameBatch() {
		start(1, 3);
		Reply batch = fetch(this.a, 0, 2);
		assertThat(fetch(this.b, 0, 3)).isEqualTo(batch);
		assertThat(fetch(this.c, 0, 1)).isEqualTo(batch);
		assertThat(this.cluster.recordedUsage).hasSize(2);
	}

	@Test
	void samplesOfTwoTrainersAreKeptSeparate() {
		this.a.post(TRAINER, 1, RolloutTestCluster.step(1, 2));
		this.b.post("avisos", 1, RolloutTestCluster.step(1, 3));
		this.cluster.runTasks();
		assertThat(fetch(this.b, 0, 9).ids()).hasSize(2).allMatch((id) -> id.startsWith("cartas/"));
		assertThat(this.a.fetch("avisos", 1, 0, 9, 1).ids()).hasSize(3).allMatch((id) -> id.startsWith("avisos/"));
	}

	@Test
	void suspendedFormerOwnerAdoptsRecordOfNewOwner() {
		start(1, 3);
		this.b.partitionedFrom.add("a-1");
		List<Reply> newOwnerReplies = new ArrayList<>();
		this.cluster.store.beforeBatchWrite = () -> {
			fetch(this.b, 0, 1);
			this.cluster.runTasks();
			newOwnerReplies.add(fetch(this.b, 0, 1));
			this.b.partitionedFrom.clear();
		};
		assertThat(fetch(this.a, 0, 2)).isEqualTo(newOwnerReplies.get(0));
		assertThat(fetch(this.a, 1, 9).slots()).containsExactly("0.1", "0.2");
		assertThat(fetch(this.b, 2, 9).status()).isEqualTo(204);
	}

	@Test
	void newOwnerAdoptsRecordOfSuspendedFormerOwner() {
		start(1, 3);
		this.b.partitionedFrom.add("a-1");
		fetch(this.b, 0, 1);
		this.cluster.runTasks();
		this.cluster.store.beforeBatchWrite = this::lateFetchAtFormerOwner;
		Reply batch = fetch(this.b, 0, 2);
		this.b.partitionedFrom.clear();
		assertThat(batch.slots()).hasSize(2);
		assertThat(this.cluster.store.read("delivery/cartas/1/0").get().get().body()).asString()
			.contains("\"ownership\":1");
		assertThat(fetch(this.a, 1, 9).slots()).hasSize(1).doesNotContainAnyElementsOf(batch.slots());
		assertThat(fetch(this.b, 2, 9).status()).isEqualTo(204);
	}

	@Test
	void newOwnerReadsRecordWrittenAfterTakeover() {
		start(1, 3);
		this.b.partitionedFrom.add("a-1");
		fetch(this.b, 0, 1);
		this.cluster.runTasks();
		lateFetchAtFormerOwner();
		this.b.partitionedFrom.clear();
		// Batch 0 contains the first two samples of the former owner.
		assertThat(fetch(this.b, 1, 9).slots()).containsExactly("0.2");
	}

	/**
	 * Guards against regeneration of samples that the trainer has received: a host that
	 * cannot reach the holders handles a delayed fetch after another host has served the
	 * batch.
	 */
	@Test
	void unreachableHoldersDoNotMarkBatchAsLost() {
		start(1, 2);
		Reply batch = fetch(this.a, 0, 1);
		Host second = this.cluster.secondHolder(this.a);
		second.unreachable = true;
		this.a.unreachable = true;
		Host third = this.b.unreachable ? this.c : this.b;
		this.cluster.hosts.put("d-1", this.cluster.new Host("d-1"));
		assertThat(fetch(third, 0, 1).status()).isEqualTo(410);
		this.a.unreachable = false;
		second.unreachable = false;
		assertThat(fetch(this.a, 0, 1).ids()).isEqualTo(batch.ids());
		this.cluster.runTasks();
		Reply next = fetch(third, 1, 9);
		assertThat(next.body().path("lost_before").asBoolean()).isFalse();
		assertThat(next.slots()).hasSize(1).doesNotContainAnyElementsOf(batch.slots());
	}

	@Test
	void batchReportedLostByTrainerIsRegenerated() {
		start(1, 2);
		Reply batch = fetch(this.a, 0, 1);
		this.cluster.secondHolder(this.a).unreachable = true;
		this.a.unreachable = true;
		Host third = this.b.unreachable ? this.c : this.b;
		this.cluster.hosts.put("d-1", this.cluster.new Host("d-1"));
		assertThat(fetch(third, 0, 1).status()).isEqualTo(410);
		assertThat(third.fetch(TRAINER, 1, 1, 9, 1, true).body().path("lost_before").asBoolean()).isTrue();
		this.a.unreachable = false;
		assertThat(fetch(this.a, 0, 1).status()).isEqualTo(410);
		this.cluster.runTasks();
		Reply again = fetch(third, 2, 9);
		assertThat(again.slots()).containsExactlyInAnyOrder("0.0", "0.1");
		assertThat(again.ids()).doesNotContainAnyElementsOf(batch.ids());
		assertThat(fetch(third, 3, 9).status()).isEqualTo(204);
	}

	@Test
	void delayedFetchOfAcknowledgedBatchDoesNotReopenIt() {
		start(1, 2);
		fetch(this.a, 0, 1);
		fetch(this.a, 1, 1);
		this.cluster.runTasks();
		assertThat(fetch(this.b, 0, 1).status()).isEqualTo(410);
		assertThat(fetch(this.a, 2, 9).status()).isEqualTo(204);
	}

	/**
	 * Guards against deadlocks and lost updates between concurrent samples, replication
	 * and fetches.
	 */
	@Test
	@Timeout(30)
	void concurrentExecutionDeliversEachSampleOnce() {
		this.cluster.hosts.values().forEach((host) -> host.start(RolloutExecutors.of(16, 4)));
		this.a.post(TRAINER, 1, RolloutTestCluster.step(50, 8));
		Set<String> slots = new HashSet<>();
		int seq = 0;
		for (Reply reply = fetch(this.b, 0, 7); reply.status() != 204; reply = fetch(this.b, seq, 7)) {
			for (String slot : reply.slots()) {
				assertThat(slots.add(slot)).as(slot).isTrue();
			}
			seq += (reply.status() == 200) ? 1 : 0;
		}
		assertThat(slots).hasSize(400);
		assertThat(this.cluster.recordedUsage).hasSize(400);
	}

	@Test
	void withdrawnKeyStopsStepDuringStream() {
		this.cluster.engineScripts.put("engine-1", (request, listener) -> {
			this.cluster.keyValid = false;
			assertThat(listener.onEvent(RolloutTestCluster.event(0, "cartas@1"))).isFalse();
			return Either.right(new Finish("cancelled", 0, 1));
		});
		start(1, 2);
		assertThat(this.cluster.streams).hasSize(1);
		this.cluster.keyValid = true;
		this.cluster.engineScripts.clear();
		assertThat(fetch(this.a, 0, 9).status()).isEqualTo(202);
		this.cluster.runTasks();
		assertThat(fetch(this.a, 0, 9).slots()).hasSize(2);
	}

	/**
	 * Guards against a sample that continues after its key was withdrawn because its
	 * engine sends no event on which the key would be checked.
	 */
	@Test
	void withdrawnKeyAbortsSampleOfSilentEngine() {
		List<String> abortedRequests = new ArrayList<>();
		this.cluster.engineScripts.put("engine-1", (request, listener) -> {
			listener.onOpen(() -> abortedRequests.add(request.requestId()));
			this.cluster.keyValid = false;
			this.a.routes.tick();
			assertThat(abortedRequests).containsExactly(request.requestId());
			return Either.right(new Finish("cancelled", 0, 0));
		});
		start(1, 2);
		assertThat(abortedRequests).hasSize(1);
		assertThat(this.cluster.streams).hasSize(1);
	}

	private void start(int prompts, int samples) {
		assertThat(this.a.post(TRAINER, 1, RolloutTestCluster.step(prompts, samples)).status()).isEqualTo(202);
		this.cluster.runTasks();
	}

	/**
	 * Makes host a create batch 0 of two samples for a query that it received before it
	 * was suspended, so that it does not read the step record again.
	 */
	private void lateFetchAtFormerOwner() {
		BatchExchange.BatchQuery query = new BatchExchange.BatchQuery(TrainerId.of(TRAINER), 1,
				RolloutTestCluster.WORKSPACE, 0, 2, 1, false);
		this.a.handlers.get(PeerMessage.BatchRequest.class)
			.apply(new PeerMessage.BatchRequest("late", this.c.id, Json.bytes(query)));
	}

	private static Reply fetch(Host host, int seq, int max) {
		return host.fetch(TRAINER, 1, seq, max, 1);
	}

	private void engine(String endpoint, String... versions) {
		this.cluster.engineScripts.put(endpoint, (request, listener) -> {
			for (int index = 0; index < versions.length; index++) {
				listener.onEvent(RolloutTestCluster.event(index, versions[index]));
			}
			return Either.right(new Finish("stop", versions.length, 1));
		});
	}

	private static List<String> spans(Reply reply) {
		List<String> spans = new ArrayList<>();
		reply.body()
			.path("samples")
			.forEach((sample) -> sample.path("spans")
				.forEach((span) -> spans.add(span.get("weight_version").asText() + ":" + span.get("tokens"))));
		return spans;
	}

}
