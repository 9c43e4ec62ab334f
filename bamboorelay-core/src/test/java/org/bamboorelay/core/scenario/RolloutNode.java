package org.bamboorelay.core.scenario;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import io.vavr.control.Either;
import org.bamboorelay.core.failure.RetryReason;
import org.bamboorelay.core.process.StoreOperation;
import org.bamboorelay.core.request.BatchRecord;
import org.bamboorelay.core.request.DeliveryState;
import org.bamboorelay.core.request.SampleLabel;
import org.bamboorelay.core.request.SampleSlot;
import org.bamboorelay.core.request.StalenessBound;
import org.bamboorelay.core.request.StepPlan;
import org.bamboorelay.core.request.StepState;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.WeightVersion;
import org.jspecify.annotations.Nullable;

/**
 * The part of an entry process that runs the steps of a trainer: generation attempts on
 * engines, samples held in memory on this and a second host, and batch records in the
 * store.
 */
final class RolloutNode {

	static final StepPlan PLAN = new StepPlan(List.of(4L, 6L), 4);

	static final StalenessBound BOUND = new StalenessBound(1);

	private static final int MAX_SERVE_ROUNDS = 30;

	private static final int TOKEN_INTERVAL_MILLIS = 120;

	private final Simulation simulation;

	private final SimulatedProcess process;

	/** The samples held in memory by this process, by sample id. */
	private final Map<String, Attempt> held = new HashMap<>();

	private final Map<Integer, Step> steps = new TreeMap<>();

	RolloutNode(Simulation simulation, SimulatedProcess process) {
		this.simulation = simulation;
		this.process = process;
		simulation.loop.every(500, process,
				() -> this.steps.values().forEach((step) -> step.on(new StepState.Event.Tick(simulation.loop.now()))));
	}

	boolean runs(int step) {
		Step current = this.steps.get(step);
		return current != null && current.delivery != null;
	}

	void onPublished(long version) {
		this.steps.values().forEach((step) -> step.on(new StepState.Event.NewVersion(version, BOUND)));
	}

	void fetch(Trainer.Fetch fetch) {
		Step step = this.steps.computeIfAbsent(fetch.step(), Step::new);
		if (step.busy) {
			return;
		}
		step.busy = true;
		if (step.delivery != null) {
			step.serve(fetch, 0);
		}
		else {
			step.takeOver(() -> step.serve(fetch, 0));
		}
	}

	@Nullable Attempt held(String id) {
		return this.held.get(id);
	}

	void drop(String id) {
		this.held.remove(id);
	}

	private static byte[] bytes(String token) {
		return token.getBytes(StandardCharsets.UTF_8);
	}

	private String newToken() {
		return this.process.name() + "/" + this.simulation.nextId();
	}

	/** The state of one training step on this host. */
	private final class Step {

		private final int number;

		private final Map<Long, Attempt> attempts = new TreeMap<>();

		private @Nullable StepState state;

		private @Nullable DeliveryState delivery;

		private boolean busy;

		private Step(int number) {
			this.number = number;
		}

		private String key(long seq) {
			return "delivery/t/" + this.number + "/" + seq;
		}

		private void read(String key, Consumer<@Nullable StoredObject> then) {
			RolloutNode.this.simulation.network.store(RolloutNode.this.process, new StoreOperation.Read(key),
					(result) -> {
						if (result.isLeft()) {
							this.busy = false;
						}
						else {
							then.accept(result.get().getOrNull());
						}
					});
		}

		private void takeOver(Runnable then) {
			String key = "steps/t/" + this.number;
			read(key, (found) -> {
				long ownership = (found != null) ? Long.parseLong(new String(found.body(), StandardCharsets.UTF_8)) + 1
						: 1;
				long version = (found != null) ? found.version() : 0;
				StoreOperation write = new StoreOperation.Write(key, bytes(Long.toString(ownership)), version);
				RolloutNode.this.simulation.network.store(RolloutNode.this.process, write, (result) -> {
					if (result.isLeft()) {
						this.busy = false;
						return;
					}
					RolloutNode.this.simulation.journal.trace(() -> RolloutNode.this.process + " takes over step "
							+ this.number + " with ownership number " + ownership);
					this.attempts.values().forEach((attempt) -> attempt.ended = true);
					this.attempts.clear();
					DeliveryState delivery = DeliveryState.of(PLAN.size(), ownership);
					this.state = null;
					readChain(delivery, () -> {
						this.delivery = delivery;
						this.state = StepState.of(PLAN, new StepState.Settings(BOUND, 6, true, 3));
						on(new StepState.Event.Delivered(delivery.deliveredSlots()));
						then.run();
					});
				});
			});
		}

		private void readChain(DeliveryState chain, Runnable then) {
			read(key(chain.nextSequence()), (found) -> {
				if (found == null) {
					then.run();
					return;
				}
				chain.applyRecord(RolloutNode.this.simulation.record(found.body()));
				readChain(chain, then);
			});
		}

		private void serve(Trainer.Fetch fetch, int round) {
			if (round > MAX_SERVE_ROUNDS) {
				this.busy = false;
				return;
			}
			head((head) -> {
				long newest = (RolloutNode.this.simulation.mutation == Mutation.NO_STALENESS_CHECK) ? 0
						: Math.max(head, fetch.trainerVersion());
				on(new StepState.Event.NewVersion(newest, BOUND));
				DeliveryState.Action response = null;
				for (DeliveryState.Action action : this.delivery.fetch(fetch.seq(), fetch.lostBefore(),
						1 + RolloutNode.this.simulation.random.nextInt(4), newest, BOUND, newToken())) {
					if (action instanceof DeliveryState.Action.Drop
							|| action instanceof DeliveryState.Action.Regenerate) {
						carryOut(List.of(action));
					}
					else {
						response = action;
					}
				}
				if (response instanceof DeliveryState.Action.Propose propose) {
					propose(propose.record(), fetch, round);
				}
				else if (response instanceof DeliveryState.Action.Serve serve) {
					serve(serve, fetch, round);
				}
				else if (response instanceof DeliveryState.Action.OutOfOrder) {
					catchUp(() -> this.busy = false);
				}
				else {
					this.busy = false;
					RolloutNode.this.simulation.trainer.onResponse(fetch, response, Map.of());
				}
			});
		}

		private void head(LongConsumer then) {
			read("weights/s/cartas", (found) -> then
				.accept((found != null) ? Long.parseLong(new String(found.body(), StandardCharsets.UTF_8)) : 1));
		}

		private void serve(DeliveryState.Action.Serve serve, Trainer.Fetch fetch, int round) {
			Map<String, Attempt> bodies = new HashMap<>();
			serve.samples().forEach((sample) -> {
				Attempt body = RolloutNode.this.simulation.sample(RolloutNode.this.process, sample);
				if (body != null) {
					bodies.put(sample.id(), body);
				}
			});
			if (bodies.size() == serve.samples().size()) {
				this.busy = false;
				RolloutNode.this.simulation.trainer.onResponse(fetch, serve, bodies);
				return;
			}
			this.busy = false;
			RolloutNode.this.simulation.trainer.onResponse(fetch, new DeliveryState.Action.Gone(fetch.seq()), Map.of());
		}

		private void propose(BatchRecord record, Trainer.Fetch fetch, int round) {
			RolloutNode.this.simulation.records.put(record.token(), record);
			if (RolloutNode.this.simulation.mutation == Mutation.UNCONDITIONAL_WRITES) {
				RolloutNode.this.simulation.network.store.put(key(record.seq()), bytes(record.token()));
			}
			StoreOperation write = new StoreOperation.Write(key(record.seq()), bytes(record.token()), 0);
			RolloutNode.this.simulation.network.store(RolloutNode.this.process, write,
					(result) -> afterWrite(result, fetch, round));
		}

		private void afterWrite(Either<StoreFailure, ?> result, Trainer.Fetch fetch, int round) {
			if (result.isLeft() && !(result.getLeft() instanceof StoreFailure.ConditionFailed)
					&& !(result.getLeft() instanceof StoreFailure.OutcomeUnknown)) {
				this.busy = false;
				return;
			}
			// The record in the store is authoritative, whichever host wrote it.
			catchUp(() -> serve(fetch, round + 1));
		}

		private void catchUp(Runnable then) {
			long seq = this.delivery.nextSequence();
			read(key(seq), (found) -> {
				if (found != null) {
					BatchRecord record = RolloutNode.this.simulation.record(found.body());
					RolloutNode.this.simulation.journal.trace(() -> RolloutNode.this.process + " applies " + record);
					carryOut(this.delivery.applyRecord(record));
				}
				then.run();
			});
		}

		private void carryOut(List<DeliveryState.Action> actions) {
			for (DeliveryState.Action action : actions) {
				if (action instanceof DeliveryState.Action.Drop drop) {
					drop.samples()
						.forEach((sample) -> RolloutNode.this.simulation.drop(RolloutNode.this.process, sample.id()));
				}
				else if (action instanceof DeliveryState.Action.Regenerate regenerate) {
					on(new StepState.Event.Reopened(regenerate.slots()));
				}
				else if (action instanceof DeliveryState.Action.Close close) {
					on(new StepState.Event.Delivered(close.slots()));
				}
			}
		}

		private void on(StepState.Event event) {
			if (this.state == null) {
				return;
			}
			for (StepState.Action action : this.state.on(event)) {
				if (action instanceof StepState.Action.Start start) {
					Attempt attempt = new Attempt(start.attempt(), this.attempts.get(start.resumedAttempt()),
							RolloutNode.this.simulation.trainer.publishedVersion());
					this.attempts.put(start.attempt(), attempt);
					StepState owner = this.state;
					RolloutNode.this.simulation.loop.after(5 + start.delayMillis(), RolloutNode.this.process,
							() -> beginAttempt(attempt, owner));
				}
				else if (action instanceof StepState.Action.Cancel cancel) {
					this.attempts.get(cancel.attempt()).ended = true;
				}
				else if (action instanceof StepState.Action.Keep keep) {
					keep(this.attempts.get(keep.attempt()), keep.slot());
				}
			}
		}

		private void beginAttempt(Attempt attempt, StepState owner) {
			if (attempt.ended || owner != this.state) {
				return;
			}
			attempt.engine = RolloutNode.this.simulation.engines.pickRandom();
			on(new StepState.Event.Started(attempt.number, EndpointId.of("engine-" + attempt.engine),
					RolloutNode.this.simulation.loop.now()));
			generate(attempt, owner, 2 + RolloutNode.this.simulation.random.nextInt(4));
		}

		private void generate(Attempt attempt, StepState owner, int remaining) {
			// The engine continues to generate while this process is frozen.
			RolloutNode.this.simulation.loop
				.after(20 + RolloutNode.this.simulation.random.nextInt(TOKEN_INTERVAL_MILLIS), () -> {
					long actualVersion = RolloutNode.this.simulation.engines.version(attempt.engine);
					WeightVersion reported = RolloutNode.this.simulation.engines.reported(attempt.engine,
							attempt.streamVersion);
					boolean truncated = RolloutNode.this.simulation.random.nextInt(40) == 0;
					boolean misreported = reported == null || reported.number() != actualVersion;
					attempt.streamVersion = actualVersion;
					RolloutNode.this.simulation.loop.after(1, RolloutNode.this.process, () -> {
						if (!attempt.ended && owner == this.state) {
							token(attempt, actualVersion, reported, truncated, misreported);
						}
					});
					if (!misreported && !truncated) {
						if (remaining > 1) {
							generate(attempt, owner, remaining - 1);
						}
						else {
							RolloutNode.this.simulation.loop.after(2, RolloutNode.this.process,
									() -> finish(attempt, owner));
						}
					}
				});
		}

		private void token(Attempt attempt, long actualVersion, @Nullable WeightVersion reported, boolean truncated,
				boolean misreported) {
			Either<SampleLabel.BadLabel, SampleLabel> label = attempt.label.withEvent(reported, 1);
			if (label.isLeft() || truncated) {
				attempt.ended = true;
				RetryReason reason = label.isLeft() ? RetryReason.BAD_LABEL : RetryReason.STREAM_TRUNCATED;
				on(new StepState.Event.Failed(attempt.number, reason, label.isRight()));
				return;
			}
			attempt.versions.add(actualVersion);
			attempt.label = label.get();
			on(new StepState.Event.Labelled(attempt.number, attempt.label.oldestVersion()));
		}

		private void finish(Attempt attempt, StepState owner) {
			if (!attempt.ended && owner == this.state) {
				attempt.ended = true;
				on(new StepState.Event.Finished(attempt.number, attempt.label.oldestVersion(),
						RolloutNode.this.simulation.loop.now()));
			}
		}

		private void keep(Attempt attempt, SampleSlot slot) {
			String id = slot + "/" + RolloutNode.this.simulation.nextId();
			RolloutNode.this.held.put(id, attempt);
			SimulatedProcess second = RolloutNode.this.simulation.secondCopyHost(RolloutNode.this.process);
			if (second == null) {
				// The sample is regenerated because no second host can hold a copy.
				on(new StepState.Event.Reopened(List.of(slot)));
				return;
			}
			DeliveryState current = this.delivery;
			RolloutNode.this.simulation.network.send(RolloutNode.this.process, second, () -> {
				RolloutNode.this.simulation.rollouts.get(second).held.put(id, attempt);
				RolloutNode.this.simulation.network.send(second, RolloutNode.this.process, () -> {
					if (current == this.delivery) {
						List<HostId> holders = List.of(RolloutNode.this.process.host, second.host);
						carryOut(current.ready(new BatchRecord.Entry(id, slot, attempt.label.oldestVersion(),
								attempt.label.tokens(), 100, holders)));
					}
				});
			});
			RolloutNode.this.simulation.loop.after(Network.TIMEOUT_MILLIS, RolloutNode.this.process, () -> {
				if (current == this.delivery && !RolloutNode.this.simulation.hasCopy(second, id)) {
					on(new StepState.Event.Reopened(List.of(slot)));
				}
			});
		}

	}

	/** One generation attempt, including the tokens of the attempt that it resumes. */
	static final class Attempt {

		private final long number;

		private final List<Long> versions = new ArrayList<>();

		private final long publishedAtStart;

		private SampleLabel label = SampleLabel.of(FakeEngines.LINE);

		private long streamVersion;

		private int engine;

		private boolean ended;

		private Attempt(long number, @Nullable Attempt resumed, long head) {
			this.number = number;
			this.publishedAtStart = head;
			if (resumed != null) {
				this.versions.addAll(resumed.versions);
				this.label = resumed.label.withNewStream();
			}
		}

		List<Long> actualVersions() {
			return this.versions;
		}

		List<Long> labelledVersions(Mutation mutation) {
			List<Long> labelledVersions = new ArrayList<>();
			this.label.spans().forEach((span) -> {
				for (int token = 0; token < span.tokens(); token++) {
					labelledVersions.add((mutation == Mutation.LABEL_FROM_START_VERSION) ? this.publishedAtStart
							: span.weightVersion().number());
				}
			});
			return labelledVersions;
		}

	}

}
