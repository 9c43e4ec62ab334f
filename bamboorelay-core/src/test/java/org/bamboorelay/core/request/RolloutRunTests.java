package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import io.vavr.control.Either;
import org.bamboorelay.core.failure.RetryReason;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.WeightVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs a step on three hosts with random faults: frozen and killed hosts, takeovers by
 * hosts that are not isolated, delayed writes, failed weight swaps, and engines that
 * report impossible versions. Checks that each slot is delivered in at most one batch,
 * that the label of a delivered sample names the versions that generated it, and that no
 * delivered sample exceeds the staleness bound.
 * <p>
 * {@code -Drollout.seed=n} replays the run with seed n.
 */
class RolloutRunTests {

	private static final int RUNS = 3_000;

	private static final int EVENTS = 250;

	private static final LineId LINE = LineId.of("cartas");

	private static final StalenessBound BOUND = new StalenessBound(1);

	private static final StepPlan PLAN = new StepPlan(List.of(10L, 20L, 15L), 4);

	@Test
	void invariantsHoldInRandomRuns() {
		Long replayed = Long.getLong("rollout.seed");
		for (long seed = (replayed != null) ? replayed : 0; seed < ((replayed != null) ? replayed + 1 : RUNS); seed++) {
			try {
				new RandomRun(seed).runToCompletion();
			}
			catch (AssertionError | RuntimeException ex) {
				throw new AssertionError("replay with -Drollout.seed=" + seed, ex);
			}
		}
	}

	private static final class RandomRun {

		private final Random random;

		private final List<BatchRecord> chain = new ArrayList<>();

		private final List<BatchRecord> delayedWrites = new ArrayList<>();

		private final Host[] hosts = { new Host(0), new Host(1), new Host(2) };

		private final long[] engineVersions = { 1, 1, 1, 1 };

		private final Map<String, List<Long>> generatedVersions = new HashMap<>();

		private final Map<String, SampleLabel> labels = new HashMap<>();

		private long headVersion = 1;

		private long ownership;

		private long nowMillis;

		private long nextTrainerBatch;

		/** Batches that the trainer did not receive and no longer accepts. */
		private final Set<Long> lostBatches = new HashSet<>();

		private final Set<SampleSlot> received = new HashSet<>();

		private int nextSampleNumber;

		private boolean complete;

		private RandomRun(long seed) {
			this.random = new Random(seed);
		}

		private void runToCompletion() {
			for (int event = 0; event < EVENTS; event++) {
				step(true);
			}
			for (Host host : this.hosts) {
				host.frozen = false;
			}
			for (int event = 0; event < 40 * EVENTS && !this.complete; event++) {
				step(false);
			}
			assertThat(this.complete).as("the step completes once no more faults occur").isTrue();
			assertThat(delivered().keySet()).hasSize(PLAN.size());
		}

		private void step(boolean faults) {
			this.nowMillis += this.random.nextInt(20);
			Host host = this.hosts[this.random.nextInt(this.hosts.length)];
			int kind = this.random.nextInt(100);
			if (kind < 70) {
				host.progress(faults);
			}
			else if (kind < 85) {
				host.fetch(this.nextTrainerBatch, faults);
			}
			else if (kind < 88 && this.nextTrainerBatch > 0) {
				host.fetch(this.nextTrainerBatch - 1, faults);
			}
			else if (kind < 90) {
				host.on(new StepState.Event.Tick(this.nowMillis));
			}
			else if (kind < 93) {
				// A weight swap. A swap that has failed is one that does not occur here.
				this.engineVersions[this.random.nextInt(this.engineVersions.length)] = this.headVersion;
			}
			else if (faults && kind < 95) {
				this.headVersion++;
				host.on(new StepState.Event.NewVersion(this.headVersion, BOUND));
			}
			else if (faults && kind < 97) {
				host.frozen = !host.frozen;
			}
			else if (faults && kind < 98) {
				host.kill();
			}
			else if (!this.delayedWrites.isEmpty()) {
				create(this.delayedWrites.remove(this.random.nextInt(this.delayedWrites.size())));
			}
		}

		private void create(BatchRecord record) {
			if (record.seq() != this.chain.size()) {
				return;
			}
			Set<String> before = new HashSet<>();
			this.chain.forEach((batch) -> batch.samples().forEach((sample) -> before.add(sample.id())));
			this.chain.add(record);
			assertThat(record.samples()).as("a sample is in one batch only").noneMatch((s) -> before.contains(s.id()));
			delivered();
		}

		private Map<SampleSlot, Long> delivered() {
			Map<SampleSlot, Long> delivered = new HashMap<>();
			for (BatchRecord batch : this.chain) {
				boolean lost = batch.seq() + 1 < this.chain.size() && this.chain.get((int) batch.seq() + 1).lost();
				if (!lost) {
					batch.samples()
						.forEach((sample) -> assertThat(delivered.put(sample.slot(), batch.seq()))
							.as("slot %s is in one batch only", sample.slot())
							.isNull());
				}
			}
			return delivered;
		}

		private void receiveBatch(long seq, DeliveryState.Action.Serve serve) {
			if (seq == this.nextTrainerBatch) {
				serve.samples()
					.forEach((sample) -> assertThat(this.received.add(sample.slot()))
						.as("slot %s is received once only", sample.slot())
						.isTrue());
				this.nextTrainerBatch++;
			}
			checkBatch(serve);
		}

		private void declareLost(long seq) {
			if (seq == this.nextTrainerBatch) {
				this.lostBatches.add(seq);
				this.nextTrainerBatch++;
			}
		}

		private void checkBatch(DeliveryState.Action.Serve serve) {
			for (BatchRecord.Entry sample : serve.samples()) {
				List<Long> versions = this.generatedVersions.get(sample.id());
				List<Long> labelled = new ArrayList<>();
				this.labels.get(sample.id()).spans().forEach((span) -> {
					for (int token = 0; token < span.tokens(); token++) {
						labelled.add(span.weightVersion().number());
					}
				});
				assertThat(labelled).as("label of a delivered sample").isEqualTo(versions);
				assertThat(versions).as("age of a delivered sample")
					.allMatch((version) -> version >= this.headVersion - BOUND.maxVersions());
			}
		}

		private final class Host {

			private final HostId id;

			private final Set<String> heldSamples = new HashSet<>();

			private final Map<Long, Attempt> attempts = new TreeMap<>();

			private StepState state;

			private DeliveryState delivery;

			private boolean frozen;

			private Host(int number) {
				this.id = HostId.of("host-" + number);
			}

			private void kill() {
				this.heldSamples.clear();
				this.attempts.clear();
				this.state = null;
				this.delivery = null;
			}

			private void takeOver() {
				RandomRun.this.ownership++;
				this.attempts.clear();
				this.state = StepState.of(PLAN, new StepState.Settings(BOUND, 5, true, 2));
				this.delivery = DeliveryState.of(PLAN.size(), RandomRun.this.ownership);
				RandomRun.this.chain.forEach(this.delivery::applyRecord);
				on(new StepState.Event.Delivered(this.delivery.deliveredSlots()));
			}

			private void on(StepState.Event event) {
				if (this.state == null || this.frozen) {
					return;
				}
				for (StepState.Action action : this.state.on(event)) {
					if (action instanceof StepState.Action.Start start) {
						Attempt before = this.attempts.get(start.resumedAttempt());
						this.attempts.put(start.attempt(), new Attempt(start, before));
					}
					else if (action instanceof StepState.Action.Cancel cancel) {
						this.attempts.get(cancel.attempt()).ended = true;
					}
					else if (action instanceof StepState.Action.Keep keep) {
						keep(this.attempts.get(keep.attempt()), keep.slot());
					}
				}
				assertThat(this.state.running()).isLessThanOrEqualTo(5);
			}

			private void keep(Attempt attempt, SampleSlot slot) {
				String sample = slot + "/" + RandomRun.this.nextSampleNumber++;
				Host second = RandomRun.this.hosts[(this.id.value().charAt(5) - '0' + 1
						+ RandomRun.this.random.nextInt(2)) % 3];
				this.heldSamples.add(sample);
				second.heldSamples.add(sample);
				RandomRun.this.generatedVersions.put(sample, attempt.versions);
				RandomRun.this.labels.put(sample, attempt.label);
				carryOut(this.delivery.ready(new BatchRecord.Entry(sample, slot, attempt.label.oldestVersion(),
						attempt.label.tokens(), 100, List.of(this.id, second.id))));
			}

			private void progress(boolean faults) {
				List<Attempt> running = this.attempts.values().stream().filter((attempt) -> !attempt.ended).toList();
				if (running.isEmpty() || this.frozen) {
					return;
				}
				Attempt attempt = running.get(RandomRun.this.random.nextInt(running.size()));
				long number = attempt.start.attempt();
				if (attempt.engine < 0) {
					attempt.engine = RandomRun.this.random.nextInt(RandomRun.this.engineVersions.length);
					on(new StepState.Event.Started(number, EndpointId.of("engine-" + attempt.engine),
							RandomRun.this.nowMillis));
					return;
				}
				int kind = RandomRun.this.random.nextInt(100);
				if (faults && kind < 4 || kind < 20 && attempt.label.tokens() == 0) {
					attempt.ended = true;
					on(new StepState.Event.Failed(number, RetryReason.STREAM_TRUNCATED, true));
				}
				else if (kind < 25) {
					attempt.ended = true;
					on(new StepState.Event.Finished(number, attempt.label.oldestVersion(), RandomRun.this.nowMillis));
				}
				else {
					token(attempt, faults && kind < 28);
				}
			}

			private void token(Attempt attempt, boolean reportsImpossibleVersion) {
				// An engine that has not swapped its weights still reports the version it
				// runs.
				long version = RandomRun.this.engineVersions[attempt.engine];
				WeightVersion reported = WeightVersion.of(LINE, version);
				if (reportsImpossibleVersion) {
					reported = (version - 1 < attempt.streamVersion) ? WeightVersion.of(LINE, version - 1) : null;
				}
				Either<SampleLabel.BadLabel, SampleLabel> label = attempt.label.withEvent(reported, 1);
				assertThat(label.isLeft()).isEqualTo(reportsImpossibleVersion);
				if (reportsImpossibleVersion) {
					attempt.ended = true;
					on(new StepState.Event.Failed(attempt.start.attempt(), RetryReason.BAD_LABEL, false));
					return;
				}
				attempt.streamVersion = version;
				attempt.label = label.get();
				attempt.versions.add(version);
				on(new StepState.Event.Labelled(attempt.start.attempt(), attempt.label.oldestVersion()));
			}

			private void fetch(long seq, boolean faults) {
				if (this.frozen) {
					return;
				}
				if (this.state == null) {
					takeOver();
				}
				for (int round = 0; round < 100; round++) {
					on(new StepState.Event.NewVersion(RandomRun.this.headVersion, BOUND));
					if (!handleFetch(seq, faults)) {
						return;
					}
				}
				throw new AssertionError("fetch of batch " + seq + " does not terminate");
			}

			private boolean handleFetch(long seq, boolean faults) {
				Optional<DeliveryState.Action> answer = Optional.empty();
				for (DeliveryState.Action action : this.delivery.fetch(seq,
						RandomRun.this.lostBatches.contains(seq - 1), 1 + RandomRun.this.random.nextInt(4),
						RandomRun.this.headVersion, BOUND, "token")) {
					if (action instanceof DeliveryState.Action.Drop
							|| action instanceof DeliveryState.Action.Regenerate) {
						carryOut(List.of(action));
					}
					else {
						answer = Optional.of(action);
					}
				}
				DeliveryState.Action action = answer.orElseThrow();
				if (action instanceof DeliveryState.Action.Propose propose) {
					return propose(propose.record(), faults);
				}
				if (action instanceof DeliveryState.Action.Serve serve) {
					boolean allHeld = serve.samples().stream().allMatch((sample) -> isHeld(sample.id()));
					if (allHeld) {
						receiveBatch(seq, serve);
					}
					else {
						declareLost(seq);
					}
					return false;
				}
				if (action instanceof DeliveryState.Action.Gone) {
					declareLost(seq);
					return false;
				}
				RandomRun.this.complete |= action instanceof DeliveryState.Action.Complete;
				return !(action instanceof DeliveryState.Action.Complete) && catchUp();
			}

			private boolean propose(BatchRecord record, boolean faults) {
				int kind = RandomRun.this.random.nextInt(10);
				if (faults && kind < 2) {
					// The host or the store freezes while the write is in flight.
					RandomRun.this.delayedWrites.add(record);
					this.frozen = kind == 0;
					return false;
				}
				create(record);
				return catchUp();
			}

			private boolean catchUp() {
				if (this.delivery.nextSequence() >= RandomRun.this.chain.size()) {
					return false;
				}
				carryOut(this.delivery.applyRecord(RandomRun.this.chain.get((int) this.delivery.nextSequence())));
				return true;
			}

			private boolean isHeld(String sample) {
				for (Host host : RandomRun.this.hosts) {
					if (host.heldSamples.contains(sample)) {
						return true;
					}
				}
				return false;
			}

			private void carryOut(List<DeliveryState.Action> actions) {
				for (DeliveryState.Action action : actions) {
					if (action instanceof DeliveryState.Action.Drop drop) {
						for (Host host : RandomRun.this.hosts) {
							drop.samples().forEach((sample) -> host.heldSamples.remove(sample.id()));
						}
					}
					else if (action instanceof DeliveryState.Action.Regenerate regenerate) {
						on(new StepState.Event.Reopened(regenerate.slots()));
					}
					else if (action instanceof DeliveryState.Action.Close close) {
						on(new StepState.Event.Delivered(close.slots()));
					}
				}
			}

		}

	}

	private static final class Attempt {

		private final StepState.Action.Start start;

		private final List<Long> versions = new ArrayList<>();

		private SampleLabel label = SampleLabel.of(LINE);

		private long streamVersion;

		private int engine = -1;

		private boolean ended;

		private Attempt(StepState.Action.Start start, Attempt before) {
			this.start = start;
			if (before != null) {
				this.versions.addAll(before.versions);
				this.label = before.label.withNewStream();
			}
		}

	}

}
